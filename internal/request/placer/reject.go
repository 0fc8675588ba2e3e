package placer

import (
	"slices"
	"time"
)

// reject rejects a request that cannot be served in time. rank is the number of
// requests that start before it.
func (p *Placer) reject(t *Ticket, usable *candidates, rank int, now time.Time) (Rejection, bool) {
	rejection := func(r Reason, wait time.Duration) (Rejection, bool) {
		if t.endsWithStop && (r == DeadlineUnreachable || r == WaitTooLong) {
			// Another instance can serve it at once.
			return Rejection{Ticket: t, RetryAfter: minRetryAfter, Reason: Stopping}, true
		}
		return Rejection{Ticket: t, RetryAfter: max(p.spread(wait), minRetryAfter), Reason: r}, true
	}
	wait := p.expectedWait(rank)
	last := t.lastStart(p.shortestWorkTime(t))
	if len(usable.targets) == 0 {
		opening, known := p.firstOpening(t, now)
		wait = max(wait, opening.Sub(now))
		switch {
		case !known:
			return rejection(NoTarget, noTargetRetryAfter)
		case t.Hedge:
			return rejection(NoFreeSlot, 0)
		case now.Add(wait).After(last):
			// A client that returns before the opening is rejected again.
			r, rejected := rejection(Limited, wait)
			r.RetryAfter = max(r.RetryAfter, opening.Sub(now))
			return r, rejected
		}
	}
	if t.Hedge && t.rounds > 0 && !p.awaitsReport(usable, now) {
		return rejection(NoFreeSlot, 0)
	}
	if now.After(last) {
		return rejection(DeadlineUnreachable, wait)
	}
	if rank >= minRankForForecast && now.Add(wait).After(last) {
		return rejection(WaitTooLong, wait)
	}
	return Rejection{}, false
}

// spread varies a wait by up to 25 % so that clients do not retry at the same time.
func (p *Placer) spread(wait time.Duration) time.Duration {
	return time.Duration((0.75 + 0.5*p.Random()) * float64(wait))
}

// RetryAfterShed returns how long a client should wait whose request was shed by each
// target that it was sent to. It answers targets that reject a part of their requests
// although they report free slots: while no request waits here there is room, and the
// client may return at once, to another target. Else it returns after the requests that
// wait now.
func (p *Placer) RetryAfterShed(now time.Time) time.Duration {
	p.dropOldStarts(now)
	if len(p.waiting) == 0 {
		return p.spread(shedRetryAfter)
	}
	return max(p.spread(p.expectedWait(len(p.waiting))), minRetryAfter)
}

// expectedWait returns how long it takes until a request of the rank starts, at the
// current rate of starts.
func (p *Placer) expectedWait(rank int) time.Duration {
	rate := float64(max(len(p.starts), 1)) / startRateWindow.Seconds()
	return time.Duration(float64(rank+1) / rate * float64(time.Second))
}

// dropOldStarts drops the starts that are older than startRateWindow.
func (p *Placer) dropOldStarts(now time.Time) {
	old := 0
	for old < len(p.starts) && now.Sub(p.starts[old]) > startRateWindow {
		old++
	}
	p.starts = slices.Delete(p.starts, 0, old)
}
