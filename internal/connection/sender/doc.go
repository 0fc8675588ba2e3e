// Package sender sends one request to one target and reads the whole answer.
//
// It keeps one connection pool per target, bounded by the instance's share of
// the connections that the target accepts from the whole fleet. It reports what
// is known about the request's effect: that nothing was sent, that the target
// disowned the request, that the whole answer arrived, or none of these.
package sender
