// Package executor makes sure that a non-idempotent operation runs at most once.
// It stores nothing on disk. While an incarnation runs, it shares its table with no
// other instance; when it stops in an orderly way, it hands its outcomes over to
// other instances (see Handover).
//
// An operation is a request of a kind that runs at most once. Its outcome is its
// final result: done, unrun (NotExecuted) or unknown. An incarnation is one start of
// the process of an instance; an epoch is a period of an incarnation, counted from 1.
// A token names an epoch of an incarnation of an instance, which is the executor:
// only this incarnation may run the operations whose ids start with the token. An id
// is the token and a part that the caller chooses. A resend is a further request with
// the same id.
//
// The table keeps one record for each id that it has accepted. An open epoch accepts
// new ids; a sealed one accepts none. An epoch is live until it is forgotten, that is,
// until its records are dropped. It is sealed before it is forgotten, so an id whose
// record is gone can never run again, and the size of the table stays bounded. A
// restarted process is a new incarnation and rejects the ids of all others.
package executor
