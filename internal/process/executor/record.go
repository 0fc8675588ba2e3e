package executor

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Result states whether an operation was executed.
type Result int

// The results of an operation.
const (
	// Done means that the target sent a complete response.
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

// Outcome is the final outcome of an operation. It is never modified.
type Outcome struct {
	Result Result
	// Status, Header and Body are the target's complete response when Result is Done
	// and Dropped is false.
	Status int
	Header http.Header
	Body   []byte
	// Dropped means that the operation was executed and its response has been dropped
	// to bound memory. The caller gets "unknown", final, with a reason, because
	// "done" promises the complete response. It never gets "unrun".
	Dropped bool
	// Reason explains an outcome that holds no response.
	Reason string
}

// responseOverheadBytes approximates the memory that a response takes in addition to
// its header and body.
const responseOverheadBytes = 256

// droppableBytes returns the approximate memory that is freed when the response is
// dropped. It returns 0 if the outcome holds no response.
func (o *Outcome) droppableBytes() int64 {
	if o.Result != Done || o.Dropped {
		return 0
	}
	total := int64(len(o.Body)) + responseOverheadBytes
	for k, vs := range o.Header {
		for _, v := range vs {
			total += int64(len(k) + len(v))
		}
	}
	return total
}

// phase is the progress of a record. It only increases, except that UnmarkSent sets
// it from sent to begun.
type phase int

const (
	begun phase = iota
	sent
	finished
)

// Record holds the state of one operation. All requests with its id share the record.
type Record struct {
	// Operation is the operation id.
	Operation OperationID
	// Fingerprint is the digest of the first request that had the id.
	Fingerprint uint64
	// Deadline is the time from which the operation must not be sent.
	Deadline time.Time

	// done is closed once outcome is set.
	done chan struct{}
	// outcome is set before done is closed, and is not nil from then on.
	outcome atomic.Pointer[Outcome]
	// phase is guarded by the table's mutex.
	phase phase
	// keptBytes is the share of Table.bytes that the response takes, guarded by the
	// table's mutex. It is 0 once the response or the whole record is dropped.
	keptBytes int64
	// forgotten means that the record's epoch was forgotten, guarded by the table's
	// mutex.
	forgotten bool
}

// Done returns a channel that is closed when the outcome is known.
func (r *Record) Done() <-chan struct{} { return r.done }

// Outcome returns the outcome, or nil if it is not known yet.
func (r *Record) Outcome() *Outcome { return r.outcome.Load() }
