// Package steerer decides which instances callers of a service should use.
//
// Each service has as few active homes as its call rate allows, one when it can,
// so that a home's own in-flight counts are the whole truth about the targets.
// Homes are assigned by rendezvous hashing with bounded load over the members
// that this instance believes alive. Views may differ between instances; that
// costs speed, never a promise.
package steerer
