// Package adopter selects the document in force: the highest valid document that was
// offered so far, from any source and in any order. A document is the settings tree
// or the list.
//
// Documents are ordered by their stamps, that is by version and then by digest.
// Adopters that were offered the same documents therefore select the same one, and
// none ever returns to an older one.
package adopter
