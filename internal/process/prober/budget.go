package prober

import "time"

// Rate is the part of a service's settings that bounds its probes.
type Rate struct {
	// Probes is the number of probes that the whole fleet may send within any Window.
	Probes int
	// Fleet is the largest number of instances that live at once.
	Fleet int
	// Window is the period over which Probes is counted.
	Window time.Duration
	// Timeout bounds one probe from its sending to its completion.
	Timeout time.Duration
}

// Spacing returns the least time between the completion of a probe and the
// sending of the next one by the same instance. It is false when the share of
// one instance is below one probe per window: then none may be sent.
//
// A probe arrives between its sending and its completion, so arrivals from one
// instance are at least Spacing apart and fewer than Window/Spacing+1, that is
// at most the share, fall into one window. Unused shares are not lent: a lender
// that was cut off could not tell a borrower from a second lender.
func (r Rate) Spacing() (time.Duration, bool) {
	if r.Fleet <= 0 || r.Window <= 0 {
		return 0, false
	}
	share := r.Probes / r.Fleet
	if share <= 0 {
		return 0, false
	}
	return (r.Window+r.Timeout)/time.Duration(share) + 1, true
}

// Budget spaces the probes of one instance to the targets of one service.
type Budget struct {
	rate Rate
	// clock is the latest time seen; it never goes back.
	clock time.Time
	// free is the completion of the last probe, or the start of the process plus
	// one Timeout, within which a probe of the process before it may still arrive.
	free time.Time
	// busy means that a probe was granted and is not yet completed.
	busy bool
	// sent counts the probes that left.
	sent int64
}

// NewBudget starts the budget of a new process. Its first probe waits a whole
// spacing, so a process that restarts in a loop sends none.
func NewBudget(rate Rate, now time.Time) *Budget {
	return &Budget{rate: rate, clock: now, free: now.Add(rate.Timeout)}
}

// Configure puts another rate in force. The time since the last completion is
// held against the new spacing, so no change allows more than one probe at once.
func (b *Budget) Configure(rate Rate) { b.rate = rate }

// Wait returns how long no probe may be sent. It is false when none may be sent
// for an unknown time: the budget is zero or a probe is under way.
func (b *Budget) Wait(now time.Time) (time.Duration, bool) {
	b.tick(now)
	spacing, ok := b.rate.Spacing()
	if !ok || b.busy {
		return 0, false
	}
	return max(0, b.free.Add(spacing).Sub(b.clock)), true
}

// Take claims the next probe. It is false when none may be sent now. Done must follow.
func (b *Budget) Take(now time.Time) bool {
	wait, ok := b.Wait(now)
	if !ok || wait > 0 {
		return false
	}
	b.busy = true
	return true
}

// Sent is called right before the claimed probe leaves. It is false when the
// settings have forbidden probes since the claim.
func (b *Budget) Sent(now time.Time) bool {
	b.tick(now)
	if _, ok := b.rate.Spacing(); !ok || !b.busy {
		return false
	}
	b.sent++
	return true
}

// Done ends the claimed probe: answered, failed, cancelled or never sent, all count.
func (b *Budget) Done(now time.Time) {
	b.tick(now)
	if !b.busy {
		return
	}
	b.busy = false
	b.free = b.clock
}

func (b *Budget) tick(now time.Time) {
	if now.After(b.clock) {
		b.clock = now
	}
}
