// Package quarantiner contains requests that crash the targets that run them.
//
// It keeps, for the content of each request that was lost with a target, the
// distinct runs of targets that were lost with it, also those told by peers. The
// second lost run convicts the request: it gets a final answer at once until its
// quarantine ends. A request lost with one run is a suspect and runs apart, one
// suspect at a time per service, so that the next loss points at one request
// only. Losses of many runs by different requests at one moment, as in a network
// cut or a power failure, and an answer from a run that was believed lost, both
// speak for the request.
package quarantiner
