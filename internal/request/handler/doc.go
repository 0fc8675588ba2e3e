// Package handler handles one request of a caller from its arrival to its
// outcome. It acquires a slot at a target, sends the request, retries or hedges
// it where that is safe, and reports what is known about its effect.
//
// Every request has exactly one outcome:
//   - done: the outcome holds the target's complete response;
//   - unrun (NotExecuted): no part of the request can have taken effect;
//   - unknown: the request may have taken effect.
//
// An attempt sends a request to one target once. An operation is a request of a
// kind that runs at most once; package executor defines it.
package handler
