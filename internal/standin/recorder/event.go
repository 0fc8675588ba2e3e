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
	// Cause tells how a run ended: done, cancelled, late, failed.
	Cause string `json:"cause,omitempty"`
}

// Book is a record in memory. The zero value is empty.
type Book struct {
	mu     sync.Mutex
	events []Event
}

// Add appends an event.
func (b *Book) Add(e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, e)
}

// Events returns the events so far. The slice is not modified later.
func (b *Book) Events() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.events[:len(b.events):len(b.events)]
}
