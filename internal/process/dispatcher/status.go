package dispatcher

import (
	"net/netip"
	"sync/atomic"
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
	// Draining tells that the target said so itself.
	Draining bool
	// EjectedUntil is zero when the target is not ejected.
	EjectedUntil time.Time
	// Report is the last one, and Age its age; Reported is false when there is none.
	Report   Report
	Age      time.Duration
	Reported bool
}

// Choice is one recorded decision.
type Choice struct {
	At       time.Time
	Kind     string
	Priority int
	// Target is the chosen one; it is not valid when the request was refused.
	Target netip.AddrPort
	// Parts is the score of the chosen target after the choice.
	Parts chooser.Parts
	// Refusal is set when the request was refused.
	Refusal *Refusal
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
			Parts: set.Explain(c, now), Draining: c.Target.Closed(),
		}
		t.EjectedUntil, _ = set.Ejected(c.Target, now)
		t.Report, t.Age, t.Reported = c.Target.Reported(now)
		s.Targets = append(s.Targets, t)
	}
	return s
}

const (
	// recorded is the number of choices kept.
	recorded = 32
	// recordEvery is the least time between two recorded choices.
	recordEvery = 10 * time.Millisecond
)

// recorder keeps the last choices of a sample.
type recorder struct {
	// at is the Unix time in nanoseconds of the last recorded choice.
	at   atomic.Int64
	next atomic.Uint64
	ring [recorded]atomic.Pointer[Choice]
}

func (r *recorder) due(now time.Time) bool {
	at, last := now.UnixNano(), r.at.Load()
	if at-last < int64(recordEvery) && at >= last {
		return false
	}
	return r.at.CompareAndSwap(last, at)
}

func (r *recorder) grant(set *chooser.Set, c *chooser.Candidate, want *Want, now time.Time) {
	if r.due(now) {
		r.put(&Choice{
			At: now, Kind: want.Policy.Kind, Priority: int(want.Policy.Priority),
			Target: c.Target.Address, Parts: set.Explain(c, now),
		})
	}
}

func (r *recorder) refuse(want *Want, refusal *Refusal, now time.Time) {
	if r.due(now) {
		r.put(&Choice{At: now, Kind: want.Policy.Kind, Priority: int(want.Policy.Priority), Refusal: refusal})
	}
}

func (r *recorder) put(c *Choice) { r.ring[(r.next.Add(1)-1)%recorded].Store(c) }

func (r *recorder) last() []Choice {
	var choices []Choice
	next := r.next.Load()
	for i := range uint64(recorded) {
		if c := r.ring[(next+i)%recorded].Load(); c != nil {
			choices = append(choices, *c)
		}
	}
	return choices
}
