// Package watcher reads the settings and the list from the platform with few calls.
//
// A small number of readers, elected among the live instances by rendezvous hashing,
// each keep one long poll open per document. Every other instance makes occasional
// fallback reads, which find documents that the readers miss when they cannot reach
// the platform. The larger the fleet, the rarer the fallback reads of one instance.
// The watcher offers each document that it reads to the adopter, and peers get it
// from there.
package watcher
