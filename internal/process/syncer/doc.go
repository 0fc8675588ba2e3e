// Package syncer keeps an instance's copy of the platform's data current with
// few calls to the platform.
//
// All instances of an availability zone agree on an order. The first live instance
// in that order is the reader: it calls the platform and, after each successful
// call, sends a confirmation that its copy is current to the other instances of the
// zone, which fetch from it the documents that they lack. An instance that has
// received no confirmation for some time reads by itself; the later it is in the
// order, the longer it waits. It stops when an instance before it sends
// confirmations again. A reader that is killed, paused or cut off from the platform
// is thus replaced within a second, without an election and regardless of which
// instances consider each other live.
package syncer
