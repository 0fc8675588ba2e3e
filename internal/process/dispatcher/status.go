package dispatcher

import (
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/chooser"
)

// Status is what a Dispatcher believes.
type Status struct {
	Place, Service string
	// Waiting counts the queued requests.
	Waiting int
	// Retries and Hedges are the second tries that the budgets allow now.
	Retries, Hedges int
	// Targets holds the targets of the present configuration.
	Targets []TargetStatus
	// Choices holds the last recorded choices, the oldest first.
	Choices []Choice
}

// TargetStatus is what a Dispatcher believes about a target.
type TargetStatus struct {
	Address netip.AddrPort
	Start   string
	Owned   bool
	// Limit bounds Outstanding.
	Limit int
	chooser.Parts
	// Bar is what keeps an urgent request from the target now.
	Bar chooser.Bar
	// Draining tells that the target said so itself.
	Draining bool
	// EjectedUntil is zero when the target is not ejected.
	EjectedUntil time.Time
	// Report is the last one, and Age its age; Reported is false when there is none.
	Report   Report
	Age      time.Duration
	Reported bool
}

// Snapshot returns what the Dispatcher believes.
func (d *Dispatcher) Snapshot(now time.Time) Status {
	s := Status{Place: d.Place, Service: d.Service, Waiting: int(d.waiting.Load()), Choices: d.record.last()}
	s.Retries, s.Hedges = d.retry.Tokens()
	set := d.view.Load().set
	if set == nil {
		return s
	}
	for i := range set.Candidates {
		c := &set.Candidates[i]
		t := TargetStatus{
			Address: c.Target.Address, Start: c.Target.Start, Owned: c.Owned, Limit: c.Limit,
			Draining: c.Target.Closed(),
		}
		t.Parts, t.Bar = set.Explain(c, chooser.Query{}, 0, now)
		t.EjectedUntil, _ = set.Ejected(c.Target, now)
		t.Report, t.Age, t.Reported = c.Target.Reported(now)
		s.Targets = append(s.Targets, t)
	}
	return s
}
