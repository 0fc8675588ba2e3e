package dispatcher

import (
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/chooser"
)

// Status is the state of a Dispatcher. It is served as JSON; the tags of
// TargetStatus, Choice and ConsideredTarget keep the names of fields there.
type Status struct {
	Place, Service string
	// Waiting counts the queued requests.
	Waiting int
	// Retries and Hedges count the retries and hedges that the budgets allow now.
	Retries, Hedges int
	// Targets holds the targets of the present configuration.
	Targets []TargetStatus
	// Choices holds the last recorded choices, the oldest first.
	Choices []Choice
}

// TargetStatus is a Dispatcher's view of a target.
type TargetStatus struct {
	Address netip.AddrPort
	Start   string
	Owned   bool
	// Limit bounds Outstanding.
	Limit int
	chooser.ScoreParts
	// Exclusion is what keeps an urgent request from the target now.
	Exclusion chooser.Exclusion `json:"Bar"`
	// Draining is true if the target has reported that it drains.
	Draining bool
	// EjectedUntil is zero when the target is not ejected.
	EjectedUntil time.Time
	// Report is the last load report and ReportAge its age; HasReport is false when
	// there is none. In the JSON, ReportAge hides ScoreParts.OldestAge, whose name
	// there is Age too.
	Report    Report
	ReportAge time.Duration `json:"Age"`
	HasReport bool          `json:"Reported"`
}

// Snapshot returns the state of the Dispatcher.
func (d *Dispatcher) Snapshot(now time.Time) Status {
	s := Status{Place: d.Place, Service: d.Service, Waiting: int(d.waiting.Load()), Choices: d.recorder.last()}
	s.Retries, s.Hedges = d.retrier.Tokens()
	set := d.configuration.Load().set
	if set == nil {
		return s
	}
	for i := range set.Candidates {
		c := &set.Candidates[i]
		t := TargetStatus{
			Address: c.Target.Address, Start: c.Target.Start, Owned: c.Owned, Limit: c.Limit,
			Draining: c.Target.Draining(),
		}
		t.ScoreParts, t.Exclusion = set.Explain(c, chooser.Query{}, 0, now)
		t.EjectedUntil, _ = set.EjectedUntil(c.Target, now)
		t.Report, t.ReportAge, t.HasReport = c.Target.LastReport(now)
		s.Targets = append(s.Targets, t)
	}
	return s
}
