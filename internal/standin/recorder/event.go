package recorder

import (
	"sync"
	"time"
)

// Type is the type of an event.
type Type string

// The types of events.
const (
	// Begin is sent before the work of a request takes effect.
	Begin Type = "begin"
	// End is sent when the work of a request is over.
	End Type = "end"
	// Probe is sent for each probe that arrives.
	Probe Type = "probe"
	// Arrive is sent for work that reaches a draining target.
	Arrive Type = "arrive"
)

// Event is an event of a target.
type Event struct {
	Type Type `json:"type"`
	// Time is the wall clock of the target. Target is the target's address.
	Time   time.Time `json:"time"`
	Target string    `json:"target"`
	// Start identifies the run of the target's process.
	Start string `json:"start"`
	// Service and Kind name the request kind. Kind is empty for probes.
	Service string `json:"service"`
	Kind    string `json:"kind,omitempty"`
	// Request is the header Request-Id of the caller. Operation is the operation id
	// of a request of an at-most-once kind.
	Request   string `json:"request,omitempty"`
	Operation string `json:"operation,omitempty"`
	// Cause is the cause of the end of an execution: done, canceled, late (the
	// deadline passed) or failed.
	Cause string `json:"cause,omitempty"`
}

// Counts holds the totals of a record.
type Counts struct {
	// Runs is the number of executions of requests that began, Probes the number of
	// probes that arrived.
	Runs   int64 `json:"runs"`
	Probes int64 `json:"probes"`
}

// Record is a record of events in memory. The zero value is empty.
type Record struct {
	// TotalsOnly keeps the totals without the events.
	TotalsOnly bool

	mu     sync.Mutex
	counts Counts
	events []Event
}

// Add appends an event and updates the totals.
func (r *Record) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.Type {
	case Begin:
		r.counts.Runs++
	case Probe:
		r.counts.Probes++
	}
	if !r.TotalsOnly {
		r.events = append(r.events, e)
	}
}

// Counts returns the current totals.
func (r *Record) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Events returns the current events. Add does not modify the returned slice.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[:len(r.events):len(r.events)]
}
