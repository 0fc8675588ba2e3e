// Package relayer exchanges messages with the other instances of the fleet.
//
// A Relayer drives the failure detector and delivers its packets. It also carries:
//
//   - Documents. A document is the settings tree or the instance list, and its
//     stamp is its version and digest. Instances exchange stamps and pull documents
//     with newer stamps.
//   - Rumors. A rumor is a small message that reaches each instance of a place, or
//     of the fleet, once.
//   - Operations. An operation is a request that only one instance may execute, its
//     executor. Other instances forward the operation to it.
//   - Searches for targets with free slots in another place.
//
// A place is a region or site in the settings tree. An incarnation is one run of an
// instance, identified by a random number.
//
// All messages to a peer share one pooled connection of authenticated frames over
// TCP. The pool is bounded, so that the cost of an instance does not grow with the
// fleet.
package relayer
