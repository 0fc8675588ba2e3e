package executor

import (
	"net/netip"
	"sync"
	"time"
)

// Limits holds the time and size limits of a table.
type Limits struct {
	// EpochDuration is how long tokens of one epoch are issued.
	EpochDuration time.Duration
	// TokenGrace is how long callers may use a token after its epoch was superseded by
	// a newer one. The superseded epoch accepts new ids for that time.
	TokenGrace time.Duration
	// RecordRetention is how long the records of a sealed epoch are kept.
	RecordRetention time.Duration
	// EpochCapacity is the number of records at which an epoch is sealed early.
	EpochCapacity int
	// MaxEpochs is the greatest number of live epochs, open or sealed. No epoch is
	// opened while it is reached.
	MaxEpochs int
	// MaxResponseBytes is the greatest total size of the responses that are kept for
	// resends, over all epochs.
	MaxResponseBytes int64
}

// The limits that are not in the settings: the records of one epoch, the live epochs,
// and the bytes of the kept responses. They bound the memory of a table.
const (
	DefaultEpochCapacity    = 4096
	DefaultMaxEpochs        = 64
	DefaultMaxResponseBytes = 64 << 20
)

// Action states how a request for an operation continues.
type Action int

// The actions of a decision.
const (
	// Run means that the goroutine that called Begin must run the operation and finish
	// the record. No other goroutine may run it.
	Run Action = iota + 1
	// Wait means that the operation is running or finished. Record holds its outcome
	// once Record.Done is closed.
	Wait
	// NeverExecuted means that the id was never executed and never will be: its epoch
	// is sealed and has no record of it. The outcome for the customer is "unrun", with
	// a new token. String returns "refused" for this action.
	NeverExecuted
	// Forgotten means that the records of the epoch were dropped, or that the epoch
	// was never opened. The outcome for the customer is "unknown" and final.
	Forgotten
	// Mismatch means that the id belongs to a request with other content. The outcome
	// for the customer is "unknown" and final, and never the response of the other
	// request.
	Mismatch
	// Replaced means that the id names another incarnation at this address, which
	// has ended. The outcome for the customer is "unknown" and final.
	Replaced
	// Foreign means that the executor is another instance.
	Foreign
)

var actionNames = map[Action]string{
	Run: "run", Wait: "wait", NeverExecuted: "refused", Forgotten: "forgotten",
	Mismatch: "mismatch", Replaced: "replaced", Foreign: "foreign",
}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }

// Decision is the result of Table.Begin and Handovers.Find.
type Decision struct {
	Action Action
	// Record is set if Action is Run or Wait.
	Record *Record
}

// epoch holds the records of one epoch.
type epoch struct {
	number   uint64
	openedAt time.Time
	// supersededAt is when a newer epoch was opened; zero for the newest epoch.
	supersededAt time.Time
	// sealedAt is when the epoch stopped accepting new ids; zero while it is open.
	sealedAt time.Time
	// records holds every id that the epoch has accepted. No record is removed before
	// the whole epoch is forgotten.
	records map[string]*Record
}

func (e *epoch) open() bool { return e.sealedAt.IsZero() }

// Table holds the operations that one incarnation of an instance executes.
type Table struct {
	peer        netip.AddrPort
	incarnation uint64

	mu     sync.Mutex
	limits Limits
	// clock is the latest time passed to the table; it never decreases.
	clock time.Time
	// liveEpochs holds the epochs that are not forgotten, in ascending order of number
	// without gaps.
	liveEpochs []*epoch
	// newest is the number of the newest epoch ever opened.
	newest uint64
	closed bool
	// responseBytes is the sum of keptBytes over the records in responses.
	responseBytes int64
	// responses holds the records with a kept response, oldest first. Records of
	// forgotten epochs are removed when they reach the front.
	responses []*Record
	// pending is the number of records without an outcome, including records of
	// forgotten epochs.
	pending int
}

// New returns the table of a new incarnation, with its first epoch open.
func New(peer netip.AddrPort, incarnation uint64, limits Limits, now time.Time) *Table {
	t := &Table{peer: peer, incarnation: incarnation, limits: limits, clock: now}
	t.advanceEpochs(now)
	return t
}

// Configure sets new limits. Longer durations extend the epochs that are still live;
// shorter ones seal and forget epochs early. No change reopens an epoch.
func (t *Table) Configure(limits Limits, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = limits
	t.advanceEpochs(now)
	t.trimResponses()
}

// Token returns a token for the ids of new operations. It returns false if the
// table is full or closed.
func (t *Table) Token(now time.Time) (Token, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceEpochs(now)
	if t.closed || len(t.liveEpochs) == 0 {
		return Token{}, false
	}
	e := t.liveEpochs[len(t.liveEpochs)-1]
	if !e.open() {
		return Token{}, false
	}
	return Token{Peer: t.peer, Incarnation: t.incarnation, Epoch: e.number}, true
}

// Begin decides what to do with an operation and records its id if the operation is
// to run. The operation may be sent only before the deadline.
func (t *Table) Begin(o OperationID, fingerprint uint64, deadline, now time.Time) Decision {
	if o.Token.Peer != t.peer {
		return Decision{Action: Foreign}
	}
	if o.Token.Incarnation != t.incarnation {
		return Decision{Action: Replaced}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceEpochs(now)
	e := t.findEpoch(o.Token.Epoch)
	if e == nil {
		return Decision{Action: Forgotten}
	}
	if r := e.records[o.Part]; r != nil {
		if r.Fingerprint != fingerprint {
			return Decision{Action: Mismatch}
		}
		return Decision{Action: Wait, Record: r}
	}
	if !e.open() {
		return Decision{Action: NeverExecuted}
	}
	r := &Record{Operation: o, Fingerprint: fingerprint, Deadline: deadline, done: make(chan struct{})}
	e.records[o.Part] = r
	t.pending++
	if len(e.records) >= t.limits.EpochCapacity {
		e.sealedAt = t.clock
	}
	return Decision{Action: Run, Record: r}
}

// MarkSent reports whether the operation may be sent now and, if so, marks its record
// as sent. It must be called right before the first byte is sent. It returns true at
// most once for a record, unless UnmarkSent is called in between. If the deadline has
// passed, for example during a pause of the process, MarkSent finishes the record as
// NotExecuted.
func (t *Table) MarkSent(r *Record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	if r.phase != begun {
		return false
	}
	if !t.clock.Before(r.Deadline) {
		t.setOutcome(r, &Outcome{Result: NotExecuted, Reason: "the deadline passed before the operation was sent"})
		return false
	}
	r.phase = sent
	return true
}

// UnmarkSent allows MarkSent to return true again, after an attempt that did not execute
// the operation: it was not sent, or the target reported that it did not execute it.
// After a lost connection UnmarkSent must not be called, because the target may have
// executed the operation.
func (t *Table) UnmarkSent(r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.phase == sent {
		r.phase = begun
	}
}

// Finish sets the outcome of a record; later outcomes are ignored. Every operation
// that was begun must be finished, even if it was shed or failed, so that a delayed
// duplicate of the request cannot run it later.
func (t *Table) Finish(r *Record, outcome Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	t.setOutcome(r, &outcome)
	t.trimResponses()
}

// Close seals all epochs and stops issuing tokens. Resends still get the outcomes of
// their records.
func (t *Table) Close(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	t.closed = true
	for _, e := range t.liveEpochs {
		if e.open() {
			e.sealedAt = t.clock
		}
	}
}

// Stats describes the content of a table. It is served as JSON under its field names.
type Stats struct {
	// Epochs and Records are the numbers of live epochs and of their records.
	Epochs, Records int
	// Pending is the number of records without an outcome, including records of
	// forgotten epochs.
	Pending int
	// Bytes is the approximate memory that the kept responses take.
	Bytes int64
}

// Stats returns the current statistics of the table.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Stats{Epochs: len(t.liveEpochs), Pending: t.pending, Bytes: t.responseBytes}
	for _, e := range t.liveEpochs {
		s.Records += len(e.records)
	}
	return s
}
