// Package queuer bounds what one instance has outstanding at a target and
// orders the requests that wait for room.
//
// A Queue is a plain state machine: it does no locking, starts no timer and is
// told the present time. Every pushed Ticket ends exactly once: it is granted,
// refused or withdrawn.
package queuer
