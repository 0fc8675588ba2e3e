package executor

import (
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Handover is what an incarnation that ends by itself still owes: the outcome of
// each id that it has seen in its live epochs. All of them are sealed, so an id of
// these epochs that is not among them never ran and never will.
type Handover struct {
	_msgpack struct{} `msgpack:",as_array"`

	Peer        netip.AddrPort
	Incarnation uint64
	// Oldest and Newest are the numbers of the live epochs.
	Oldest, Newest uint64
	Records        []HandoverRecord
}

// HandoverRecord is the outcome of one operation.
type HandoverRecord struct {
	_msgpack struct{} `msgpack:",as_array"`

	Epoch       uint64
	Part        string
	Fingerprint uint64
	Result      Result
	Status      int
	Header      http.Header
	Body        []byte
	Dropped     bool
	Reason      string
}

// Handover returns what a closed table owes, with at most limit bytes of answers,
// the newest first. An attempt without an outcome counts as unknown. It is false
// when the table is not closed or has nothing to tell.
func (t *Table) Handover(limit int64) (Handover, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Handover{Peer: t.peer, Incarnation: t.incarnation, Newest: t.newest}
	if !t.closed || len(t.live) == 0 {
		return l, false
	}
	l.Oldest = t.live[0].number
	for n := len(t.live) - 1; n >= 0; n-- {
		e := t.live[n]
		for part, r := range e.records {
			o := r.outcome.Load()
			if o == nil {
				o = &Outcome{Result: Unknown}
			}
			if size := o.bytes(); size > limit {
				o = &Outcome{Result: Done, Dropped: true}
			} else {
				limit -= size
			}
			l.Records = append(l.Records, HandoverRecord{
				Epoch: e.number, Part: part, Fingerprint: r.Fingerprint, Result: o.Result,
				Status: o.Status, Header: o.Header, Body: o.Body, Dropped: o.Dropped, Reason: o.Reason,
			})
		}
	}
	return l, true
}

// legacyKey names the incarnation that left a legacy.
type legacyKey struct {
	peer        netip.AddrPort
	incarnation uint64
}

// inheritance is a legacy with its records by id.
type inheritance struct {
	oldest, newest uint64
	records        map[OperationID]*Record
	until          time.Time
}

// Handovers answers for incarnations that have ended. It runs nothing.
type Handovers struct {
	mutex sync.Mutex
	kept  map[legacyKey]inheritance
}

// NewHandovers returns an empty set.
func NewHandovers() *Handovers { return &Handovers{kept: map[legacyKey]inheritance{}} }

// maxLegacies bounds the incarnations that are answered for.
const maxLegacies = 64

// Add keeps a legacy until a time. It is false when there is no room.
func (s *Handovers) Add(l Handover, until, now time.Time) bool {
	h := inheritance{oldest: l.Oldest, newest: l.Newest, records: make(map[OperationID]*Record, len(l.Records)), until: until}
	for _, r := range l.Records {
		o := OperationID{Token: Token{Peer: l.Peer, Incarnation: l.Incarnation, Epoch: r.Epoch}, Part: r.Part}
		h.records[o] = settled(o, r)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for k, other := range s.kept {
		if !now.Before(other.until) {
			delete(s.kept, k)
		}
	}
	if len(s.kept) >= maxLegacies {
		return false
	}
	s.kept[legacyKey{l.Peer, l.Incarnation}] = h
	return true
}

// settled makes the record of an operation that has ended elsewhere.
func settled(o OperationID, r HandoverRecord) *Record {
	record := &Record{Operation: o, Fingerprint: r.Fingerprint, done: make(chan struct{}), phase: finished}
	record.outcome.Store(&Outcome{
		Result: r.Result, Status: r.Status, Header: r.Header, Body: r.Body, Dropped: r.Dropped, Reason: r.Reason,
	})
	close(record.done)
	return record
}

// Find answers for an incarnation that has ended. The action is Foreign when it
// left nothing here, and never Run.
func (s *Handovers) Find(o OperationID, fingerprint uint64, now time.Time) Verdict {
	s.mutex.Lock()
	h, ok := s.kept[legacyKey{o.Token.Peer, o.Token.Incarnation}]
	s.mutex.Unlock()
	switch {
	case !ok || !now.Before(h.until):
		return Verdict{Action: Foreign}
	case o.Token.Epoch < h.oldest || o.Token.Epoch > h.newest:
		return Verdict{Action: Forgotten}
	}
	r := h.records[o]
	switch {
	case r == nil:
		return Verdict{Action: Refused}
	case r.Fingerprint != fingerprint:
		return Verdict{Action: Mismatch}
	}
	return Verdict{Action: Wait, Record: r}
}
