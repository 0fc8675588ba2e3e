// Package assembler builds an instance from its parts and runs them until the
// instance has left the fleet.
//
// The package makes no decisions. It passes events and the current time to the
// parts that decide, and carries out their decisions.
package assembler
