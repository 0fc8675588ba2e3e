// Package detector decides which instances of the fleet are alive.
//
// It is a state machine without input or output: packets, failed sends and the
// present time go in, packets to send and changes of state come out.
//
// Each period an instance pings one other, asks a few helpers to ping it when no
// answer comes, then suspects it, and believes it failed unless it refutes the
// suspicion in time. News of members travels on the pings themselves, a bounded
// number to each packet. Most pings stay within a place; every few periods one
// goes to another place.
//
// Three rules keep one instance's mistake from becoming everybody's:
//   - What others say of a failure only makes a member suspect. Each instance
//     waits out the suspicion itself, so that a live member can refute it.
//   - An incarnation ends for good only by its own farewell, or when another
//     incarnation answers a ping that was sent to its address after the last sign
//     of it. No word of others and no silence ends it.
//   - The published list and the seeds name addresses to try. They add no member
//     and remove none.
package detector
