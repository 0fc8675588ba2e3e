package recorder

import (
	"sync"
	"time"
)

// Type tells what an event reports.
type Type string

// The types of events.
const (
	// Begin is reported before a request takes effect.
	Begin Type = "begin"
	// End is reported when the work of a request is over.
	End Type = "end"
	// Probe is reported for each probe that arrives.
	Probe Type = "probe"
	// Arrive is reported for work that reaches a target that is leaving.
	Arrive Type = "arrive"
)

// Event is one entry of a target's record.
type Event struct {
	Type Type `json:"type"`
	// Time is the wall clock of the target.
	Time time.Time `json:"time"`
	// Target is the target's address.
	Target string `json:"target"`
	// Start names the run of the target's process.
	Start string `json:"start"`
	// Service and Kind are empty for probes without a kind.
	Service string `json:"service"`
	Kind    string `json:"kind,omitempty"`
	// Request is the caller's Request-Id, Operation the id of a once kind.
	Request   string `json:"request,omitempty"`
	Operation string `json:"operation,omitempty"`
	// Cause tells how a run ended: done, canceled, late, failed.
	Cause string `json:"cause,omitempty"`
}

// Counts are the totals of a record.
type Counts struct {
	// Runs counts the runs that began, Probes the probes that arrived.
	Runs   int64 `json:"runs"`
	Probes int64 `json:"probes"`
}

// Record is a record in memory. The zero value is empty.
type Record struct {
	// TotalsOnly keeps the totals only.
	TotalsOnly bool

	mu     sync.Mutex
	counts Counts
	events []Event
}

// Add appends an event.
func (b *Record) Add(e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch e.Type {
	case Begin:
		b.counts.Runs++
	case Probe:
		b.counts.Probes++
	}
	if !b.TotalsOnly {
		b.events = append(b.events, e)
	}
}

// Counts returns the totals so far.
func (b *Record) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// Events returns the events so far. The slice is not modified later.
func (b *Record) Events() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.events[:len(b.events):len(b.events)]
}
