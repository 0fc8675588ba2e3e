// Package assembler puts the parts of one instance together and runs them until
// the instance has left the fleet.
//
// It holds no decisions: it hands events and the present time to the parts that
// decide and carries out what they say.
package assembler
