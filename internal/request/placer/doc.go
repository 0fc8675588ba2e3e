// Package placer decides which target a request of one service goes to, when it
// starts, and when it is turned away.
//
// It has no input or output and starts no timer: arrivals, reports of targets,
// ends of requests and the present time go in; requests to start or to refuse
// and targets to probe come out.
//
// Targets share their hardware, so each changes its speed several times a
// second, and a request keeps the speed that it started with. A choice by old
// reports is therefore hardly better than chance. A request starts on a target
// whose report is some milliseconds old, that has a free slot and is fast enough
// for the request's latency objective. While there is none, the request waits
// here, where it can still go to any target, and not in the queue of one of
// them. Requests that can no longer meet their objective start after those that
// can, and a request that cannot end in time is refused at once.
package placer
