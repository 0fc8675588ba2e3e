// Package limiter keeps the messages of the whole fleet to a target within the limit that
// the target names: the number of requests and probes per second that it takes from all
// instances together, for as long as its responses say so.
//
// A share of the limit for each instance would be far below one message per second, and
// shares that instances save up would add up to a burst. So one instance, the owner, counts
// the messages to a run of a target, and each instance asks it for a permit right before it
// sends one. The owner is a live instance of the target's zone, the same one for all
// instances with the same view of the fleet. An instance that does not count itself as the
// owner grants nothing. While instances do not see each other there are several owners.
// Each grants the part of the limit that its visible instances are of the known ones, so
// that the parts add up to the limit.
//
// What instances know of a limit is a Fact. Facts are ordered by the time of the response
// that named the limit, spread as rumors, and are exchanged with each permit, so that an
// outdated one does not last.
package limiter
