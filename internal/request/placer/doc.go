// Package placer decides for each request of a service which target executes it
// and when it starts, or rejects it.
//
// The package does no I/O and starts no timer. Its inputs are arriving requests,
// load reports of targets, ends of requests and the current time. Its outputs are
// requests to start, requests to reject, targets to probe and remote zones to
// search.
//
// The availability zone of this instance and the targets in it are local. All other
// zones and their targets are remote.
//
// Each request has a latency objective, the time within which its response should
// arrive, and a deadline, at which the request is given up. A hedge is a copy of a
// slow idempotent request that still runs.
//
// The work time of a kind of request is the time that its requests usually take at
// a target. A target's slowdown is the time that work takes there divided by the
// work time. It is the product of the slowdown that the target reports, the target's
// own slowdown, and assumed values for a target that is nearly full or that has just
// started. The own slowdown is learned from the requests that the target has served;
// the other factors are divided out of it.
//
// Targets share their hardware, so each target's slowdown changes several times a
// second, and a request keeps the speed that it started with. A choice by old
// reports is therefore hardly better than a random choice. A request starts on a
// target whose report is a few milliseconds old, that has a free slot and that is
// fast enough for the request's latency objective. While there is no such target,
// the request waits here, where it can still go to any target, and not in the queue
// of one target.
//
// While requests wait, the placer probes a few local targets in each round of
// probes. The first waiting request waits for a slot in its own zone for a share of its
// slack (Placer.LocalWait). This answers the load at which the few targets of a zone are
// busy for a moment: most slots come free within that time, while a request to another
// zone costs traffic and takes a slot that the other zone needs next. After that time
// rounds cover remote zones too, every second one, or each one if fewer than two local
// targets can be probed. A round covers them at once if the request is a hedge or if no
// local target is usable. In a remote zone, the placer starts a search: it asks an
// instance there for targets with a free slot, which that instance offers with their
// load. If no instance there can be asked, the placer probes the targets of the zone
// itself.
//
// The first two rounds of a request probe the fewest local targets of which one is free with
// a probability of sureShare, by what the last probes have shown; the next round begins as
// soon as all of these have reported. This answers the load at which most slots are free and
// processor time is scarce, on small instances, while targets are slow by turns. Later rounds
// probe more targets, for the load at which free slots are rare.
//
// A burst makes many requests wait while a report arrives each millisecond. What is the same
// for all of them is found once a step (candidates).
//
// In a burst, the probes that an instance may send are used up within a second. Requests
// then wait for a newer report rather than start by an old one, whose slot another
// instance has taken since.
//
// A target that fails requests is avoided for some time. One that sheds a request is not,
// because the request has not run and can go elsewhere: targets may all shed a part of their
// requests although they have room, and each instance would then avoid those that happened
// to shed a few in a row. Of the free targets, those that lately shed many more than another
// one are the second choice.
//
// Requests that can still meet their objective start before requests that cannot, and
// a request that cannot end before its deadline is rejected at once.
package placer
