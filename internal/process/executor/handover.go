package executor

import (
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Handover holds the outcome of each id that a stopping incarnation has accepted in
// its live epochs, for the instances that respond to resends after it has ended.
// All its epochs are sealed, so an id of these epochs that is not in Records was
// never executed and never will be. It is encoded as an array: the order of the
// fields is the wire format.
type Handover struct {
	_msgpack struct{} `msgpack:",as_array"`

	Peer        netip.AddrPort
	Incarnation uint64
	// Oldest and Newest are the numbers of the first and the last live epoch.
	Oldest, Newest uint64
	Records        []HandoverRecord
}

// HandoverRecord is the outcome of one operation. It is encoded as an array.
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

// Handover returns the handover of a closed table. It holds at most limit bytes of
// responses, those of the newest epochs first, and marks the rest as Dropped. An
// operation that is still running gets the outcome Unknown. Handover returns false
// if the table is not closed or has no live epoch.
func (t *Table) Handover(limit int64) (Handover, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := Handover{Peer: t.peer, Incarnation: t.incarnation, Newest: t.newest}
	if !t.closed || len(t.liveEpochs) == 0 {
		return h, false
	}
	h.Oldest = t.liveEpochs[0].number
	for n := len(t.liveEpochs) - 1; n >= 0; n-- {
		e := t.liveEpochs[n]
		for part, r := range e.records {
			o := r.outcome.Load()
			if o == nil {
				o = &Outcome{Result: Unknown}
			}
			if size := o.droppableBytes(); size > limit {
				o = &Outcome{Result: Done, Dropped: true}
			} else {
				limit -= size
			}
			h.Records = append(h.Records, HandoverRecord{
				Epoch: e.number, Part: part, Fingerprint: r.Fingerprint, Result: o.Result,
				Status: o.Status, Header: o.Header, Body: o.Body, Dropped: o.Dropped, Reason: o.Reason,
			})
		}
	}
	return h, true
}

// handoverKey identifies the incarnation that a handover comes from.
type handoverKey struct {
	peer        netip.AddrPort
	incarnation uint64
}

// storedHandover is a handover with its records by id. It expires at expiresAt.
type storedHandover struct {
	oldest, newest uint64
	records        map[OperationID]*Record
	expiresAt      time.Time
}

// Handovers holds the handovers of incarnations that have ended. Find decides about
// resends of their operations and never returns Run.
type Handovers struct {
	mutex  sync.Mutex
	stored map[handoverKey]storedHandover
}

// NewHandovers returns an empty set of handovers.
func NewHandovers() *Handovers { return &Handovers{stored: map[handoverKey]storedHandover{}} }

// maxHandovers is the greatest number of handovers that are stored. It bounds the
// memory that they take.
const maxHandovers = 64

// Add removes the expired handovers and stores h until the given time. It returns
// false and stores nothing if maxHandovers are stored already, even if one of them is
// of the same incarnation.
func (s *Handovers) Add(h Handover, until, now time.Time) bool {
	stored := storedHandover{oldest: h.Oldest, newest: h.Newest, records: make(map[OperationID]*Record, len(h.Records)), expiresAt: until}
	for _, r := range h.Records {
		o := OperationID{Token: Token{Peer: h.Peer, Incarnation: h.Incarnation, Epoch: r.Epoch}, Part: r.Part}
		stored.records[o] = finishedRecord(o, r)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for k, other := range s.stored {
		if !now.Before(other.expiresAt) {
			delete(s.stored, k)
		}
	}
	if len(s.stored) >= maxHandovers {
		return false
	}
	s.stored[handoverKey{h.Peer, h.Incarnation}] = stored
	return true
}

// finishedRecord returns the record of an operation that ended at another instance.
func finishedRecord(o OperationID, r HandoverRecord) *Record {
	record := &Record{Operation: o, Fingerprint: r.Fingerprint, done: make(chan struct{}), phase: finished}
	record.outcome.Store(&Outcome{
		Result: r.Result, Status: r.Status, Header: r.Header, Body: r.Body, Dropped: r.Dropped, Reason: r.Reason,
	})
	close(record.done)
	return record
}

// Find decides about an operation of an incarnation that has ended. The action is
// Foreign if no unexpired handover of that incarnation is stored. It is never Run.
func (s *Handovers) Find(o OperationID, fingerprint uint64, now time.Time) Decision {
	s.mutex.Lock()
	h, ok := s.stored[handoverKey{o.Token.Peer, o.Token.Incarnation}]
	s.mutex.Unlock()
	switch {
	case !ok || !now.Before(h.expiresAt):
		return Decision{Action: Foreign}
	case o.Token.Epoch < h.oldest || o.Token.Epoch > h.newest:
		return Decision{Action: Forgotten}
	}
	r := h.records[o]
	switch {
	case r == nil:
		return Decision{Action: NeverExecuted}
	case r.Fingerprint != fingerprint:
		return Decision{Action: Mismatch}
	}
	return Decision{Action: Wait, Record: r}
}
