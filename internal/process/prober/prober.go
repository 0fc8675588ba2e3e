package prober

import (
	"sync"
	"time"
)

// IdleDelay is how long to wait before the next call of Next if no candidate becomes
// due earlier.
const IdleDelay = time.Second

// Prober decides on the probes of one service at one instance.
type Prober struct {
	mu      sync.Mutex
	budget  *Budget
	weights Weights
}

// New returns the prober of a new process.
func New(rate Rate, weights Weights, now time.Time) *Prober {
	return &Prober{budget: NewBudget(rate, now), weights: weights}
}

// Configure sets the rate and the weights.
func (p *Prober) Configure(rate Rate, weights Weights) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Configure(rate)
	p.weights = weights
}

// Next claims a probe of the due candidate whose reason has the highest priority.
// BeginSend and Done must follow. Without a claim, Next returns nil and how long to wait
// before calling it again. Only Done, Configure or other candidates can make a probe
// possible earlier.
func (p *Prober) Next(now time.Time, candidates []Candidate) (*Claim, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, wait := p.highestPriority(now, candidates)
	if best == nil {
		return nil, wait
	}
	wait, ok := p.budget.Wait(now)
	if !ok {
		return nil, IdleDelay
	}
	if wait > 0 {
		return nil, wait
	}
	return p.budget.Claim(best.Target, now), 0
}

// highestPriority returns the due candidate whose reason has the highest priority, and
// of several the one that has been due for longest. If none is due, it returns nil and
// the time until the first one is, at most IdleDelay. A target with a pending probe gets
// no other.
func (p *Prober) highestPriority(now time.Time, candidates []Candidate) (*Candidate, time.Duration) {
	var best *Candidate
	var since time.Time
	wait := IdleDelay
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

// BeginSend must be called right before the claimed probe is sent. If it returns
// false, the probe must not be sent.
func (p *Prober) BeginSend(c *Claim, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.BeginSend(c, now)
}

// Done ends a claim, whatever its outcome. A probe that timed out is done only when
// its connection has ended. Closing the connection would not take back what the
// target has not read yet, so the caller leaves it open and waits for the response.
func (p *Prober) Done(c *Claim, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Done(c, now)
}

// Pending returns the number of probes that may still reach their targets.
func (p *Prober) Pending() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.budget.pending)
}

// SentProbes returns the number of probes sent since the start of the process.
func (p *Prober) SentProbes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.sent
}
