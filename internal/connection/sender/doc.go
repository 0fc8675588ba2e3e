// Package sender sends one request to one target and reads the complete
// response.
//
// It keeps one connection pool for each target. The pool is bounded by this
// instance's share of the connections that the target accepts from the whole
// fleet.
//
// Send returns an Effect, which is what is known about the execution of the
// request: nothing was sent, the target reported that it did not execute the
// request, the complete response arrived, or none of these.
package sender
