// Package relayer exchanges messages with the other instances of the fleet.
//
// A Relayer drives the failure detector and delivers its packets. It also carries:
//
//   - Documents. A document is the settings tree or the instance list, and its
//     stamp is its version and digest. Instances exchange stamps and pull documents
//     with newer stamps.
//   - Confirmations. A confirmation is a message that the sender's documents are
//     current.
//   - Rumors. A rumor is a small message that reaches each instance of a place, or
//     of the fleet, once.
//   - Operations. An operation is a request that only one instance, its executor, may
//     execute. Other instances forward the operation to it. The outcome is the
//     executor's response to the operation.
//   - Searches for targets with free slots in another place.
//   - Permits. A permit is the answer of the instance that counts the messages of the
//     fleet to a target, that one more message may be sent to it.
//
// A document is in force at an instance that has adopted it. The documents in force
// are current if the platform has no newer ones. A reader is the instance that reads
// the documents from the platform for its place and confirms them to it.
//
// A place is a region or site in the settings tree. For the instances of package
// composer it is the availability zone. A run is one run of a target's process. An
// incarnation is one lifetime of an instance's process, identified by a random
// number.
//
// A connection carries authenticated frames over TCP. New messages to a peer share one
// pooled connection. Responses use the connection of the request, and documents are
// pulled on the connection that brought their stamps. The pool is bounded, so that the
// cost of an instance does not grow with the fleet.
package relayer
