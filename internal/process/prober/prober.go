package prober

import (
	"sync"
	"time"
)

// Idling is how long to wait before asking again when no candidate is due.
const Idling = time.Second

// Prober decides on the probes of one service at one instance.
type Prober struct {
	mu      sync.Mutex
	budget  *Budget
	weights Weights
}

// New starts the prober of a new process.
func New(rate Rate, weights Weights, now time.Time) *Prober {
	return &Prober{budget: NewBudget(rate, now), weights: weights}
}

// Configure puts other settings in force.
func (p *Prober) Configure(rate Rate, weights Weights) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Configure(rate)
	p.weights = weights
}

// Next claims a probe of the neediest candidate: Sent and Done must follow.
// Without a claim, nothing can change before the returned wait.
func (p *Prober) Next(now time.Time, candidates []Candidate) (*Claim, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, wait := p.neediest(now, candidates)
	if best == nil {
		return nil, wait
	}
	wait, ok := p.budget.Wait(now)
	if !ok {
		return nil, Idling
	}
	if wait > 0 {
		return nil, wait
	}
	return p.budget.Claim(best.Target, now), 0
}

// neediest returns the due candidate with the most valuable reason, the longest
// due first, or nil and the time until the first one is due. A target that has
// not answered its last probe gets no other.
func (p *Prober) neediest(now time.Time, candidates []Candidate) (*Candidate, time.Duration) {
	var best *Candidate
	var since time.Time
	wait := Idling
	for i := range candidates {
		c := &candidates[i]
		at, ok := p.weights.due(*c)
		if !ok || p.budget.probing(c.Target) {
			continue
		}
		if at.After(now) {
			wait = min(wait, at.Sub(now))
			continue
		}
		if best == nil || c.Reason < best.Reason || c.Reason == best.Reason && at.Before(since) {
			best, since = c, at
		}
	}
	return best, wait
}

// BeginSend is called right before the claimed probe leaves; false forbids it.
func (p *Prober) BeginSend(c *Claim, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Sent(c, now)
}

// Done ends a claim, whatever became of it. A probe that timed out is done only
// when its connection has ended: closing it takes nothing back that the target
// has not read yet, so the driver leaves it open and waits for the answer.
func (p *Prober) Done(c *Claim, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Done(c, now)
}

// Pending returns the number of probes that may still reach their targets.
func (p *Prober) Pending() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.budget.open)
}

// SentProbes returns the number of probes sent since the start of the process.
func (p *Prober) SentProbes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.sent
}
