// Package detector decides which instances of the fleet are alive.
//
// It implements a SWIM protocol as a state machine without input or output: its
// inputs are packets, failed sends and the present time; its outputs are packets
// to send and changes of state.
//
// In each period an instance pings one other instance. When no ack comes, it asks
// a few helpers to ping that instance, then marks it suspect, and marks it failed
// unless the suspicion is refuted in time. Updates about members are piggybacked
// on these packets, a bounded number to each packet. Most pings stay within a
// place (a region or site, a node of the settings tree); every few periods one
// goes to another place.
//
// An incarnation is one run of an instance's process. A seed is an address from
// the command line; the list is the published list of instances.
//
// Three rules keep a mistake of one instance from spreading to the fleet:
//   - A report from another member never makes a member failed. It makes the member
//     suspect at most, and each instance waits for the end of the suspicion itself,
//     so that a live member can refute it.
//   - An incarnation ends for good only when it sends a leave message, or when another
//     incarnation acks a ping that was sent to the address after the last sign of
//     the first one. Other members pass on that it has ended. No report of a failure
//     and no silence ends an incarnation.
//   - The published list and the seeds name addresses to try. They add no member
//     and remove none.
package detector
