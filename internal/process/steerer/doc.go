// Package steerer decides which instances callers of a service should use.
//
// Each service has a set of active homes: the instances that its callers are told to
// use. It has as few as its call rate allows, one if possible: a single home sees all
// requests to the service's targets, so its own in-flight counts are complete. The
// owner of a target is the active home that counts the target's requests.
//
// Homes are assigned by weighted rendezvous hashing with bounded load over the
// members that this instance holds as alive or suspect. The views of instances can
// differ for a time. Then callers of a service can be told to use different homes,
// and a target can have two owners or none. This costs performance, but no guarantee
// depends on equal views.
package steerer
