// Package placer decides for each request of a service which target executes it
// and when it starts, or rejects it.
//
// The package does no I/O and starts no timer. Its inputs are arriving requests,
// load reports of targets, ends of requests and the current time. Its outputs are
// requests to start, requests to reject, targets to probe and remote zones to
// search.
//
// The work time of a kind of request is the time that its requests usually take at
// a target. A target's slowdown is the time that work takes there over that time.
// Targets share their hardware, so each target's slowdown changes several times a
// second, and a request keeps the speed that it started with. A choice by old
// reports is therefore hardly better than a random choice. A request starts on a
// target whose report is a few milliseconds old, that has a free slot and that is
// fast enough for the request's latency objective. While there is no such target,
// the request waits here, where it can still go to any target, and not in the queue
// of one target.
//
// While requests wait, the placer probes a few targets in each round of probes. It
// probes targets of its own zone first, and searches remote zones after some
// rounds. Requests that can still meet their objective start before requests that
// cannot, and a request that cannot end before its deadline is rejected at once.
package placer
