// Package watcher reads documents from the platform with few calls. A document is the
// settings tree or the list, each with a version and a digest. The list names the
// instances and targets.
//
// Package watcher serves a platform that publishes each document as a whole with its
// version. Package syncer serves a platform that can return the changes since the last
// read.
//
// A small number of readers, elected among the live instances by rendezvous hashing,
// each keep one long poll open per document. Every other instance makes occasional
// fallback reads, which find documents that the readers miss when they cannot reach
// the platform. The larger the fleet, the rarer the fallback reads of one instance.
// The watcher offers each document that it reads to package adopter, from which peers
// get it.
package watcher
