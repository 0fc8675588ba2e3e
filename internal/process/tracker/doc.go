// Package tracker holds the state of each target of each service.
//
// Four sources speak about a target: the platform's list, the target's own
// answers, its health endpoint and peers. Whichever says first that a run of the
// target's process is leaving is believed, and nothing makes that run usable
// again. Only evidence of a run that was never seen at the address does, and
// what the target itself says counts for more than the list, which lags.
package tracker
