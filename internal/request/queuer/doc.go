// Package queuer bounds the requests that one instance has outstanding at a
// target and orders the requests that wait for a free slot.
//
// A Queue is a plain state machine: it does no locking and starts no timer, and
// its caller passes the current time. Every pushed Ticket ends exactly once: it
// is granted, rejected or withdrawn.
package queuer
