// Package syncer keeps an instance's copy of the platform's data current with
// few calls to the platform. The data consists of documents: the settings tree and
// the list of targets, each with a version and a digest.
//
// Package syncer serves a platform that can return the changes since the last read.
// The caller supplies these calls as Refresh and Await. Package watcher serves a
// platform that publishes each document as a whole.
//
// All instances of an availability zone agree on an order. The first live instance
// in that order is the reader: it calls the platform and, after each successful
// call, sends the other instances of the zone a confirmation that its copy is
// current. They fetch the documents that they lack from it. An instance that has
// received no confirmation for some time calls the platform itself; the later it is
// in the order, the longer it waits. It stops when an instance before it sends
// confirmations again. A reader that is killed, paused or cut off from the platform
// is thus replaced within two seconds, without an election, even while the other
// instances still consider it live.
package syncer
