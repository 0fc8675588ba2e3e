// Package chooser picks the target of one request among the targets of a
// service.
//
// The score of a target is the time that a request sent now is expected to take
// there, in normal latencies. A kind is a class of requests with settings of its
// own (package resolver). The normal latency of a request kind is its mean latency
// over all targets, and the slowdown of a target is the latency expected there when
// it is idle, in normal latencies. A score depends on
//
//   - the outstanding requests of this instance at the target and their ages,
//   - the load of other callers according to the target's last report,
//   - the latencies of its recent responses and its failures,
//   - its availability zone and its owner.
//
// A target runs as many requests at a time as it has slots; its spare capacity is
// what may be sent beyond them. Callers of a service send their requests to its
// homes (package steerer). An owner of a target is a home whose limit counts on
// the target's slots and spare capacity or on a share of them. Any other instance
// borrows: it uses only the slots that are free according to a fresh report, and
// without one it sends one request at a time.
//
// Set.Pick takes the target with the lowest score among those with capacity.
// Targets that fail repeatedly are ejected for a time unless most targets fail at
// once. A started target reaches its full share of the requests gradually.
//
// Scores are computed from atomics only, so a choice takes no lock. The present
// time and the random number are arguments.
package chooser
