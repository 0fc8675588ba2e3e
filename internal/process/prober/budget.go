package prober

import (
	"net/netip"
	"time"
)

// Rate is the part of a service's settings that bounds its probes.
type Rate struct {
	// Probes is the number of probes that all instances together may send within any
	// Window.
	Probes int
	// Fleet is the largest number of instances that run at the same time.
	Fleet int
	// Window is the period over which Probes is counted.
	Window time.Duration
	// Timeout is how long a probe may take before the target counts as unresponsive.
	// It also bounds the delay with which a probe of an ended process can reach its
	// target.
	Timeout time.Duration
}

// share returns the number of probes that one instance may send within any window.
// Instances do not lend unused shares. After a partition, the lender could not know
// whether an instance that uses the share is its borrower or a second one, so the share
// might be used twice.
func (r Rate) share() int {
	if r.Fleet <= 0 || r.Window <= 0 {
		return 0
	}
	return max(0, r.Probes/r.Fleet)
}

// retention returns the time after its completion for which a probe counts.
func (r Rate) retention() time.Duration { return r.Window + r.Timeout }

// interval returns the least time from a claim or completion to the next claim of one
// instance. It spreads the share over the retention. It must not be called if the share
// is 0.
func (r Rate) interval() time.Duration { return r.retention() / time.Duration(r.share()) }

// Claim is one probe that the budget has granted.
type Claim struct {
	// Target is the target to probe.
	Target netip.AddrPort

	ended bool
}

// Budget bounds the probes of one instance to the targets of one service.
//
// A probe reaches its target between its claim and its completion. A claim is
// granted only if the number of pending probes and of probes completed within the
// last Window and Timeout is below the share. Consider the probes that reach targets
// within one window: when the last of them was claimed, fewer than the share counted,
// so at most the share comes from one process. A new process waits until the probes
// of its predecessor have left every window that it can send into. The sum over all
// instances is therefore at most Probes, without any message between them.
type Budget struct {
	rate  Rate
	start time.Time
	// clock is the latest time seen. It never goes back.
	clock time.Time
	// pending holds the claims without a completion. A probe that an unresponsive
	// target never answers stays here, because the target may still read and run it at
	// any time.
	pending map[*Claim]bool
	// completed holds the completion times that still count, the oldest first.
	completed []time.Time
	// last is the time of the last claim or completion, whichever is later.
	last time.Time
	// sent counts the probes that were sent.
	sent int64
}

// NewBudget returns the budget of a new process.
func NewBudget(rate Rate, now time.Time) *Budget {
	return &Budget{rate: rate, start: now, clock: now, pending: make(map[*Claim]bool)}
}

// Configure sets the rate. Probes sent under the old rate count against the new one.
// In a window in which the instances used several rates, up to the largest of them
// may arrive.
func (b *Budget) Configure(rate Rate) { b.rate = rate }

// Wait returns the time until a probe may be claimed. It returns false if a probe can
// be claimed only after a completion or a change of the settings.
func (b *Budget) Wait(now time.Time) (time.Duration, bool) {
	b.advance(now)
	share := b.rate.share()
	b.dropExpired()
	if share == 0 || len(b.pending) >= share {
		return 0, false
	}
	// A probe of the previous process may reach its target up to Timeout after the start
	// of this one. It counts for the retention from then on, as a completed probe does.
	ready := b.start.Add(b.rate.retention() + b.rate.Timeout)
	if !b.last.IsZero() {
		ready = latest(ready, b.last.Add(b.rate.interval()))
	}
	if over := len(b.pending) + len(b.completed) - share; over >= 0 {
		ready = latest(ready, b.completed[over].Add(b.rate.retention()))
	}
	return max(0, ready.Sub(b.clock)), true
}

// Claim grants a probe, or returns nil if none may be sent now. Done must follow once
// the probe can no longer reach the target.
func (b *Budget) Claim(target netip.AddrPort, now time.Time) *Claim {
	if wait, ok := b.Wait(now); !ok || wait > 0 {
		return nil
	}
	c := &Claim{Target: target}
	b.pending[c] = true
	b.last = b.clock
	return c
}

// BeginSend must be called right before the claimed probe is sent. It returns false if
// the settings now forbid probes or if the claim has ended.
func (b *Budget) BeginSend(c *Claim, now time.Time) bool {
	b.advance(now)
	if b.rate.share() == 0 || c.ended {
		return false
	}
	b.sent++
	return true
}

// Done ends a claim. Every outcome counts against the budget: a response, a refused
// or broken connection, and a probe that was not sent. A probe that timed out after
// its request was written is not done until its connection has ended.
func (b *Budget) Done(c *Claim, now time.Time) {
	b.advance(now)
	if c.ended {
		return
	}
	c.ended = true
	delete(b.pending, c)
	b.completed = append(b.completed, b.clock)
	b.last = b.clock
}

// dropExpired removes the completions that no longer count.
func (b *Budget) dropExpired() {
	for len(b.completed) > 0 && b.clock.Sub(b.completed[0]) >= b.rate.retention() {
		b.completed = b.completed[1:]
	}
}

// probing reports whether a probe to the target is pending.
func (b *Budget) probing(target netip.AddrPort) bool {
	for c := range b.pending {
		if c.Target == target {
			return true
		}
	}
	return false
}

// advance moves the clock forward. An earlier time is ignored.
func (b *Budget) advance(now time.Time) {
	if now.After(b.clock) {
		b.clock = now
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
