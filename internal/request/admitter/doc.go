// Package admitter answers one question: may a target take this now, and if not, when?
//
// What a target says of itself, and what the owner of its permits answers, ends here as the
// state of one run: limited, closed until the next permit, paused until, cold until. The code
// that chooses targets asks and knows none of these cases.
//
// A limited run is the last choice and is not probed, since its limit counts all messages. A
// paused run takes no message of this instance at all. A cold run is probed like any other,
// takes requests with a permit, and takes non-idempotent ones last.
package admitter
