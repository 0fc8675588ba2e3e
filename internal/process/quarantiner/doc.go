// Package quarantiner contains requests that crash the targets that run them.
//
// For the content of each request that was lost with a target, the package keeps
// the distinct runs that were lost with it, as seen by this instance or reported by
// peers. A run is one execution of a target's process, from its start to its end. A
// request that was lost with one run is a suspect. It runs isolated: alone at a target,
// and one suspect at a time per service, so that the next loss points at one request
// only. A request that was lost with two runs is quarantined: until its quarantine
// ends, it is answered at once with a response that tells the caller not to retry.
//
// A third lost run is required when the losses do not point at the request alone:
// when many runs were lost with other requests at the same moment, as in a network
// partition or a power failure, or when another request was lost with the same
// runs. A loss is withdrawn when its run responds to a request that was sent after
// the loss.
package quarantiner
