// Package executor runs non-idempotent operations at most once, with nothing
// stored and nothing shared.
//
// An operation id names the one incarnation of the one instance that may run
// it, and an epoch of that incarnation. The table keeps one record for each id
// that it has seen; an id without a record may run only while its epoch is open.
// An epoch is sealed before its records are dropped, so an id whose record is
// gone can never run again, and the table stays bounded. A restarted process is
// a new incarnation and refuses the ids of all others.
package executor
