package retrier

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Ending tells how a try ended.
type Ending int

// The endings of a try.
const (
	// Done means that the target's whole answer arrived.
	Done Ending = iota
	// Failed means that the target answered with a failure of its own.
	Failed
	// Shed means that the target said that it did not run the request.
	Shed
	// Canceled means that the try was given up by this side.
	Canceled
	// Lost means that the connection broke after something was sent.
	Lost
	// Unsent means that nothing was sent, as after a refused connection.
	Unsent
)

var endingNames = [...]string{"done", "failed", "shed", "canceled", "lost", "unsent"}

// String returns the ending in words.
func (e Ending) String() string { return endingNames[e] }

// NotExecuted tells whether the target provably did not run the request.
func (e Ending) NotExecuted() bool { return e == Shed || e == Unsent }

// Backoff is the delay of the first retry; it doubles with each later one.
const Backoff = 2 * time.Millisecond

// maxDoublings bounds the growth of the delay.
const maxDoublings = 6

// Retrier holds the budgets of one service.
type Retrier struct {
	retries, hedges *Budget
}

// New returns a Retrier with full budgets.
func New() *Retrier { return &Retrier{retries: NewBudget(), hedges: NewBudget()} }

// RecordFirstAttempt fills the budgets for a first try.
func (r *Retrier) RecordFirstAttempt(p *resolver.Policy) {
	r.retries.Deposit(p.Retries)
	if !p.Once && p.Hedge > 0 {
		r.hedges.Deposit(p.Ratio)
	}
}

// Retry decides whether a request may be tried again after tries that ended so,
// and when. It takes a token if so.
func (r *Retrier) Retry(p *resolver.Policy, ending Ending, tries int, deadline, now time.Time) (bool, time.Duration) {
	if ending == Done || ending == Canceled || (p.Once && !ending.NotExecuted()) {
		return false, 0
	}
	after := Backoff << min(max(0, tries-1), maxDoublings)
	if !now.Add(after).Before(deadline) || p.Retries <= 0 || !r.retries.Take() {
		return false, 0
	}
	return true, after
}

// Hedge decides whether a request may have a second try now, and takes a token
// if so. overloaded tells that requests wait for room.
func (r *Retrier) Hedge(p *resolver.Policy, overloaded bool) bool {
	return CanHedge(p) && !overloaded && r.hedges.Take()
}

// CanHedge tells whether requests of the kind may have second tries at all.
func CanHedge(p *resolver.Policy) bool { return !p.Once && p.Hedge > 0 && p.Ratio > 0 }

// ReturnHedge puts back the token of a second try that found no free room.
func (r *Retrier) ReturnHedge() { r.hedges.Return() }

// Tokens returns the second tries that the budgets allow now.
func (r *Retrier) Tokens() (retries, hedges int) { return r.retries.Tokens(), r.hedges.Tokens() }
