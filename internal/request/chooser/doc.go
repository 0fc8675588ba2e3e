// Package chooser picks the target of one request among the targets of a
// service.
//
// Each target is scored by the time a request sent now is expected to take
// there, relative to the normal time of its kind: own requests in flight, the
// load others put on it according to its last report, its recent latency, the
// age of its outstanding requests and its availability zone. Failing targets
// are ejected for a time unless most targets fail at once, and a started target
// reaches its full share along a ramp.
//
// Scores are computed from atomics only, so choosing takes no lock. The present
// time and the random number are arguments.
package chooser
