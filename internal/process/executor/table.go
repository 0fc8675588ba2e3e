package executor

import (
	"net/netip"
	"sync"
	"time"
)

// Limits bounds a table.
type Limits struct {
	// EpochDuration is the time for which tokens of one epoch are given out.
	EpochDuration time.Duration
	// TokenGrace is how long callers may keep a token; a superseded epoch accepts new
	// ids for that time.
	TokenGrace time.Duration
	// RecordRetention is how long the records of a sealed epoch are kept.
	RecordRetention time.Duration
	// EpochCapacity is the number of records at which an epoch is sealed early.
	EpochCapacity int
	// MaxEpochs is the number of epochs that are open or sealed at once.
	MaxEpochs int
	// MaxResponseBytes bounds the answers that are kept for resends, over all epochs.
	MaxResponseBytes int64
}

// The limits that settings do not give.
const (
	DefaultEpochCapacity    = 4096
	DefaultMaxEpochs        = 64
	DefaultMaxResponseBytes = 64 << 20
)

// Action is what the holder of an operation has to do.
type Action int

// The actions of a verdict.
const (
	// Run means that this caller, and no other, must run the operation and
	// finish its record.
	Run Action = iota + 1
	// Wait means that an attempt is running or finished; Record has its outcome.
	Wait
	// Refused means that the id never ran and never will: its epoch is sealed and
	// has no record of it. The answer is "unrun" with a fresh token.
	Refused
	// Forgotten means that the records of the epoch are gone, or that the epoch
	// was never opened. The answer is "unknown" and final.
	Forgotten
	// Mismatch means that the id belongs to a request with another content. The
	// answer is "unknown" and final, and never the other request's answer.
	Mismatch
	// Replaced means that the id names another incarnation at this address, which
	// has ended. The answer is "unknown" and final.
	Replaced
	// Foreign means that another instance is the executor.
	Foreign
)

var actionNames = map[Action]string{
	Run: "run", Wait: "wait", Refused: "refused", Forgotten: "forgotten",
	Mismatch: "mismatch", Replaced: "replaced", Foreign: "foreign",
}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }

// Verdict is the answer to Begin.
type Verdict struct {
	Action Action
	// Record is set for Run and Wait.
	Record *Record
}

// epoch holds the records of one epoch.
type epoch struct {
	number uint64
	opened time.Time
	// superseded is when a newer epoch was opened; zero for the newest.
	superseded time.Time
	// sealed is when the epoch stopped accepting new ids; zero while it is open.
	sealed time.Time
	// records has an entry for each id that was accepted, until the whole epoch
	// is forgotten; no entry is removed before.
	records map[string]*Record
}

func (e *epoch) open() bool { return e.sealed.IsZero() }

// Table is the executor of one incarnation of an instance.
type Table struct {
	peer        netip.AddrPort
	incarnation uint64

	mu     sync.Mutex
	limits Limits
	// clock is the latest time seen; it never goes back.
	clock time.Time
	// live holds the epochs with records, in order of number without gaps.
	live []*epoch
	// newest is the number of the newest epoch ever opened.
	newest uint64
	closed bool
	// bytes is the sum of kept over the records in answers.
	bytes int64
	// answers holds the records with a kept answer, the oldest first; forgotten
	// ones are skipped when they come to the front.
	answers []*Record
	pending int
}

// New starts the table of a new incarnation.
func New(peer netip.AddrPort, incarnation uint64, limits Limits, now time.Time) *Table {
	t := &Table{peer: peer, incarnation: incarnation, limits: limits, clock: now}
	t.advance(now)
	return t
}

// Configure puts new limits in force. Longer times apply to epochs that still
// live; shorter ones seal and forget early. Neither can reopen an epoch.
func (t *Table) Configure(limits Limits, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = limits
	t.advance(now)
	t.trim()
}

// Token returns a token under which new operations are accepted. It is false
// when the table is full or closed.
func (t *Table) Token(now time.Time) (Token, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if t.closed || len(t.live) == 0 {
		return Token{}, false
	}
	e := t.live[len(t.live)-1]
	if !e.open() {
		return Token{}, false
	}
	return Token{Peer: t.peer, Incarnation: t.incarnation, Epoch: e.number}, true
}

// Begin decides what the holder of an operation has to do. The deadline bounds
// when the operation may be sent.
func (t *Table) Begin(o OperationID, fingerprint uint64, deadline, now time.Time) Verdict {
	if o.Token.Peer != t.peer {
		return Verdict{Action: Foreign}
	}
	if o.Token.Incarnation != t.incarnation {
		return Verdict{Action: Replaced}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	e := t.find(o.Token.Epoch)
	if e == nil {
		return Verdict{Action: Forgotten}
	}
	if r := e.records[o.Part]; r != nil {
		if r.Fingerprint != fingerprint {
			return Verdict{Action: Mismatch}
		}
		return Verdict{Action: Wait, Record: r}
	}
	if !e.open() {
		return Verdict{Action: Refused}
	}
	r := &Record{Operation: o, Fingerprint: fingerprint, Deadline: deadline, done: make(chan struct{})}
	e.records[o.Part] = r
	t.pending++
	if len(e.records) >= t.limits.EpochCapacity {
		e.sealed = t.clock
	}
	return Verdict{Action: Run, Record: r}
}

// Send reports whether the operation may be sent now. It is asked right before
// the first byte leaves and is true at most once for a record, unless Disown
// took the sending back. When the deadline has passed, as after a pause of the
// process, the record is finished as unrun.
func (t *Table) Send(r *Record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick(now)
	if r.phase != begun {
		return false
	}
	if !t.clock.Before(r.Deadline) {
		t.settle(r, &Outcome{Result: NotExecuted, Reason: "the deadline passed before the operation was sent"})
		return false
	}
	r.phase = sent
	return true
}

// Disown takes a sending back after the target itself has said that it did not
// run the operation, so that another target may be asked. A broken connection
// says nothing of the kind.
func (t *Table) Disown(r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.phase == sent {
		r.phase = begun
	}
}

// Finish sets the outcome of a record; the first one stands. Every way of
// leaving an attempt must finish its record, also a shed or failed one, so that
// a delayed duplicate of the message cannot run it later.
func (t *Table) Finish(r *Record, outcome Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick(now)
	t.settle(r, &outcome)
	t.trim()
}

// Close seals all epochs and gives out no more tokens. Records still answer resends.
func (t *Table) Close(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick(now)
	t.closed = true
	for _, e := range t.live {
		if e.open() {
			e.sealed = t.clock
		}
	}
}

// Stats describes the content of a table.
type Stats struct {
	// Epochs and Records are the numbers of live epochs and of their records.
	Epochs, Records int
	// Pending is the number of records without an outcome, forgotten ones too.
	Pending int
	// Bytes is the memory taken by kept answers.
	Bytes int64
}

// Stats returns the present content of the table.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Stats{Epochs: len(t.live), Pending: t.pending, Bytes: t.bytes}
	for _, e := range t.live {
		s.Records += len(e.records)
	}
	return s
}
