// Package executor runs non-idempotent operations at most once. It stores nothing
// on disk and shares no state between instances.
//
// An operation is a request of a kind that runs at most once. An incarnation is
// one start of the process of an instance; an epoch is a period of an incarnation,
// counted from 1. A token names an epoch of an incarnation of an instance, which is
// the executor: only this incarnation may run the operations whose ids start with
// the token. An id is the token and a part that the caller chooses.
//
// The table keeps one record for each id that it has accepted. It accepts an id
// without a record only while the id's epoch is open. An epoch is sealed before
// its records are dropped, so an id whose record is gone can never run again, and
// the size of the table stays bounded. A restarted process is a new incarnation
// and rejects the ids of all others. An incarnation that stops in an orderly way
// hands its outcomes over to other instances; see Handover.
package executor
