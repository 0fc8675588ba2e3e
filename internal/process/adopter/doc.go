// Package adopter selects the document in force: the newest valid document that was
// offered so far, from any source and in any order. A document is the settings tree
// or the list.
//
// Of two documents of one type, the newer one has the higher version or, if the
// versions are equal, the higher digest. Version and digest form the stamp. Adopters
// that were offered the same documents therefore select the same one, and none ever
// returns to an older one.
package adopter
