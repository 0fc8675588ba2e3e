package prober

import (
	"net/netip"
	"time"
)

// Rate is the part of a service's settings that bounds its probes.
type Rate struct {
	// Probes is the number of probes that the whole fleet may send within any Window.
	Probes int
	// Fleet is the largest number of instances that live at once.
	Fleet int
	// Window is the period over which Probes is counted.
	Window time.Duration
	// Timeout is how long a probe may take before the target counts as silent. It
	// also bounds how late a probe of an ended process can reach its target.
	Timeout time.Duration
}

// share returns the number of probes that one instance may send within any
// window. Unused shares are not lent: a lender that was cut off could not tell
// the one it lent to from a second one.
func (r Rate) share() int {
	if r.Fleet <= 0 || r.Window <= 0 {
		return 0
	}
	return max(0, r.Probes/r.Fleet)
}

// hold is the time after its completion for which a probe counts.
func (r Rate) hold() time.Duration { return r.Window + r.Timeout }

// spacing is the least time between two probes of one instance.
func (r Rate) spacing() time.Duration { return r.hold() / time.Duration(r.share()) }

// Claim is one probe that the budget has granted.
type Claim struct {
	// Target is whom to probe.
	Target netip.AddrPort

	ended bool
}

// Budget bounds the probes of one instance to the targets of one service.
//
// A probe reaches its target between its claim and its completion. A claim is
// granted only if fewer than the share are under way or were completed within
// the last Window and Timeout. So among the probes that reach targets within one
// window, the one that was claimed last found fewer than the share before it,
// and no more than the share come from one process. A new process waits until
// what the one before it sent has left every window that it can send into.
// Added up over the fleet that is at most Probes, without any message.
type Budget struct {
	rate  Rate
	start time.Time
	// clock is the latest time seen; it never goes back.
	clock time.Time
	// open holds the claims without a completion. A probe that a silent target
	// never answers stays here: it may still be read, and run, at any time.
	open map[*Claim]bool
	// completed holds the completion times that count, the oldest first.
	completed []time.Time
	// last is the time of the last claim or completion, whichever is later.
	last time.Time
	// sent counts the probes that left.
	sent int64
}

// NewBudget starts the budget of a new process.
func NewBudget(rate Rate, now time.Time) *Budget {
	return &Budget{rate: rate, start: now, clock: now, open: make(map[*Claim]bool)}
}

// Configure puts another rate in force. Probes sent under the old rate count
// against the new one. In a window in which several rates were in force at the
// instances, up to the largest of them may arrive.
func (b *Budget) Configure(rate Rate) { b.rate = rate }

// Wait returns how long no probe may be claimed. It is false when that depends
// on a completion or on the settings.
func (b *Budget) Wait(now time.Time) (time.Duration, bool) {
	b.tick(now)
	share := b.rate.share()
	b.drop()
	if share == 0 || len(b.open) >= share {
		return 0, false
	}
	ready := b.start.Add(b.rate.hold() + b.rate.Timeout)
	if !b.last.IsZero() {
		ready = latest(ready, b.last.Add(b.rate.spacing()))
	}
	if over := len(b.open) + len(b.completed) - share; over >= 0 {
		ready = latest(ready, b.completed[over].Add(b.rate.hold()))
	}
	return max(0, ready.Sub(b.clock)), true
}

// Claim grants a probe, or returns nil when none may be sent now. Done must
// follow once the probe can no longer reach the target.
func (b *Budget) Claim(target netip.AddrPort, now time.Time) *Claim {
	if wait, ok := b.Wait(now); !ok || wait > 0 {
		return nil
	}
	c := &Claim{Target: target}
	b.open[c] = true
	b.last = b.clock
	return c
}

// Sent is called right before the claimed probe leaves. It is false when the
// settings have forbidden probes since the claim.
func (b *Budget) Sent(c *Claim, now time.Time) bool {
	b.tick(now)
	if b.rate.share() == 0 || c.ended {
		return false
	}
	b.sent++
	return true
}

// Done ends a claim: answered, refused, broken off or never sent, all count. A
// probe that timed out with its request written is not done until its connection
// has ended.
func (b *Budget) Done(c *Claim, now time.Time) {
	b.tick(now)
	if c.ended {
		return
	}
	c.ended = true
	delete(b.open, c)
	b.completed = append(b.completed, b.clock)
	b.last = b.clock
}

// drop forgets the completions that no longer count.
func (b *Budget) drop() {
	for len(b.completed) > 0 && b.clock.Sub(b.completed[0]) >= b.rate.hold() {
		b.completed = b.completed[1:]
	}
}

// probing reports whether a probe to the target is under way.
func (b *Budget) probing(target netip.AddrPort) bool {
	for c := range b.open {
		if c.Target == target {
			return true
		}
	}
	return false
}

func (b *Budget) tick(now time.Time) {
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
