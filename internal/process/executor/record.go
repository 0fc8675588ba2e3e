package executor

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Result tells what became of an operation.
type Result int

// The results of an operation.
const (
	// Done means that the target's whole answer is known.
	Done Result = iota + 1
	// NotExecuted means that the operation took no effect and never will under this id.
	NotExecuted
	// Unknown means that the operation may have taken effect.
	Unknown
)

// String returns the name of the result on the wire.
func (r Result) String() string {
	switch r {
	case Done:
		return "done"
	case NotExecuted:
		return "unrun"
	case Unknown:
		return "unknown"
	}
	return "none"
}

// Outcome is the terminal outcome of an operation. It is never modified.
type Outcome struct {
	Result Result
	// Status, Header and Body are the target's whole answer when Result is Done.
	Status int
	Header http.Header
	Body   []byte
	// Dropped means that the operation ran to its end and the answer has been
	// dropped to bound memory. Towards a caller this is "unknown" and final, with
	// the reason, because "done" promises the whole answer. It is never "unrun".
	Dropped bool
	// Reason explains an outcome other than a target's answer.
	Reason string
}

// headerBytes approximates the memory taken by an answer beside its body.
const headerBytes = 256

// bytes returns the memory that keeping the outcome takes, as far as it can be dropped.
func (o *Outcome) bytes() int64 {
	if o.Result != Done || o.Dropped {
		return 0
	}
	total := int64(len(o.Body)) + headerBytes
	for k, vs := range o.Header {
		for _, v := range vs {
			total += int64(len(k) + len(v))
		}
	}
	return total
}

// phase is the progress of a record; it only grows.
type phase int

const (
	begun phase = iota
	sent
	finished
)

// Record is the single attempt at an operation.
type Record struct {
	// Operation is the id.
	Operation OperationID
	// Fingerprint is the digest of the request that the id was first seen with.
	Fingerprint uint64
	// Deadline is the time after which the operation may no longer be sent.
	Deadline time.Time

	// done is closed once outcome is set.
	done chan struct{}
	// outcome is nil until done is closed, and never again.
	outcome atomic.Pointer[Outcome]
	// phase is guarded by the table's mutex.
	phase phase
	// kept is the number of the table's bytes that the answer takes, guarded by
	// the table's mutex. It is 0 once the answer or the whole record is dropped.
	kept int64
	// forgotten means that the record's epoch is gone, guarded by the table's mutex.
	forgotten bool
}

// Done is closed when the outcome is known.
func (r *Record) Done() <-chan struct{} { return r.done }

// Outcome returns the outcome, or nil before Done is closed.
func (r *Record) Outcome() *Outcome { return r.outcome.Load() }
