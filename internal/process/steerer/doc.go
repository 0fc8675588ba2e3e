// Package steerer decides which instances callers of a service should use.
//
// Each service has a set of active homes: the instances that its callers are told to
// use. It has as few as its call rate allows, one if possible: a single home sees all
// requests to the service's targets, so its own in-flight counts are complete.
//
// Homes are assigned by weighted rendezvous hashing with bounded load over the
// members that this instance holds as alive or suspect. The views of instances can
// differ. A difference costs performance and never breaks a guarantee.
package steerer
