// Package adopter keeps the document in force: the highest valid one offered
// so far, from whatever source and in whatever order.
//
// Documents are ordered by version, then by digest. Adopters that were offered
// the same documents therefore hold the same one, and none ever steps back.
package adopter
