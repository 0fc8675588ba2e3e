package retrier

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Ending is the way an attempt ended.
type Ending int

// The endings of an attempt.
const (
	// Done means that the target's complete response arrived.
	Done Ending = iota
	// Failed means that the response of the target reports a failure.
	Failed
	// Shed means that the target reported that it did not execute the request.
	Shed
	// Canceled means that this instance canceled the attempt.
	Canceled
	// Lost means that the connection broke after part of the request was sent.
	Lost
	// Unsent means that nothing was sent, for example because the target refused the
	// connection.
	Unsent
)

var endingNames = [...]string{"done", "failed", "shed", "canceled", "lost", "unsent"}

// String returns the name of the ending.
func (e Ending) String() string { return endingNames[e] }

// NotExecuted reports whether the target provably did not execute the request.
func (e Ending) NotExecuted() bool { return e == Shed || e == Unsent }

// InitialBackoff is the delay before the first retry. Each further retry doubles
// the delay.
const InitialBackoff = 2 * time.Millisecond

// maxDoublings bounds how often the delay doubles, so the longest delay is 128 ms.
const maxDoublings = 6

// Retrier holds the budgets of one service.
type Retrier struct {
	retries, hedges *Budget
}

// New returns a Retrier with full budgets.
func New() *Retrier { return &Retrier{retries: NewBudget(), hedges: NewBudget()} }

// RecordFirstAttempt adds to the budgets for a first attempt.
func (r *Retrier) RecordFirstAttempt(p *resolver.Policy) {
	r.retries.Deposit(p.RetryRatio)
	if !p.AtMostOnce && p.HedgeDelay > 0 {
		r.hedges.Deposit(p.HedgeRatio)
	}
}

// Retry decides whether a request may be retried after the given number of
// attempts, the last of which ended as given. A retry must start before the
// deadline. If the request may be retried, Retry takes a token and returns true and
// the delay before the retry.
func (r *Retrier) Retry(p *resolver.Policy, ending Ending, attempts int, deadline, now time.Time) (bool, time.Duration) {
	if ending == Done || ending == Canceled || (p.AtMostOnce && !ending.NotExecuted()) {
		return false, 0
	}
	delay := InitialBackoff << min(max(0, attempts-1), maxDoublings)
	if !now.Add(delay).Before(deadline) || p.RetryRatio <= 0 || !r.retries.Take() {
		return false, 0
	}
	return true, delay
}

// Hedge decides whether a request may be hedged now. If so, it takes a token.
// overloaded means that requests wait for a free slot.
func (r *Retrier) Hedge(p *resolver.Policy, overloaded bool) bool {
	return CanHedge(p) && !overloaded && r.hedges.Take()
}

// CanHedge reports whether requests with the policy may be hedged at all.
func CanHedge(p *resolver.Policy) bool { return !p.AtMostOnce && p.HedgeDelay > 0 && p.HedgeRatio > 0 }

// ReturnHedge puts back the token of a hedge that found no free slot.
func (r *Retrier) ReturnHedge() { r.hedges.Return() }

// Tokens returns how many retries and hedges the budgets allow now.
func (r *Retrier) Tokens() (retries, hedges int) { return r.retries.Tokens(), r.hedges.Tokens() }
