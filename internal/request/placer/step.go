package placer

import (
	"math"
	"slices"
	"time"
)

// Step decides what can be decided now.
func (p *Placer) Step(now time.Time) Actions {
	a := Actions{}
	p.forget(now)
	p.sort(now)
	kept := p.waiting[:0]
	deciding := false
	for rank, t := range p.waiting {
		usable := p.usable(t, now)
		if !deciding {
			g, ok, awaits := p.choose(t, usable, now)
			if ok {
				a.Grants = append(a.Grants, g)
				continue
			}
			// Nobody takes what a more urgent request may still choose.
			deciding = awaits
		}
		if r, refused := p.refuse(t, usable, rank-len(a.Grants)-len(a.Rejections), now); refused {
			a.Rejections = append(a.Rejections, r)
			continue
		}
		kept = append(kept, t)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	if len(kept) == 0 {
		return a
	}
	p.ask(&a, now)
	a.NextStep = p.wake(now)
	return a
}

// sort orders the waiting: those that can meet their objective by the last moment
// at which they can start, the urgent ones moved forward; then the others.
func (p *Placer) sort(now time.Time) {
	slices.SortStableFunc(p.waiting, func(a, b *Ticket) int {
		lateA, lateB := now.After(p.latest(a)), now.After(p.latest(b))
		if lateA != lateB {
			if lateB {
				return -1
			}
			return 1
		}
		return p.urgency(a, lateA, now).Compare(p.urgency(b, lateB, now))
	})
}

// urgency is the time by which requests are ordered.
func (p *Placer) urgency(t *Ticket, late bool, now time.Time) time.Time {
	due := p.latest(t)
	if late {
		due = t.Deadline.Add(-p.need(t))
	}
	if now.Sub(t.Arrived) > aging {
		return due
	}
	return due.Add(time.Duration(t.Priority) * priorityStep)
}

// choose starts a request at one of the targets that it may be sent to, if there is
// one to start it at now. It also reports whether there is one while a better
// answer is awaited.
func (p *Placer) choose(t *Ticket, usable []*state, now time.Time) (g Grant, ok, awaits bool) {
	best, factor := p.best(t, usable, now)
	if best == nil {
		return Grant{}, false, false
	}
	expected := time.Duration(factor * float64(p.need(t)))
	ends := now.Add(expected)
	late := now.After(p.latest(t))
	switch {
	case !late && ends.After(t.ObjectiveTime), late && (factor > lateFactor || ends.After(t.Deadline)):
		return Grant{}, false, false
	case factor > excellent && (p.asking(usable, now) || t.tried == 0 && !p.blind):
		return Grant{}, false, true
	}
	g = Grant{
		Ticket: t, Target: best.Target, Expected: expected, ReportAge: now.Sub(best.told),
		ActiveRequests: best.busy(now), MissesObjective: late, Remote: !p.near(best),
	}
	t.factor = factor
	best.running[t] = now
	p.starts = append(p.starts, now)
	return g, true, false
}

// best returns the target with a free slot at which a request would end first.
// Among those that are about equal it draws one of the own zone if there is any;
// a target that has joined thus gets its share. Without reports all are equal.
func (p *Placer) best(t *Ticket, usable []*state, now time.Time) (*state, float64) {
	age := freshness
	if p.blind {
		age = stale
	}
	deaf := p.deaf(t, usable, now)
	least := math.Inf(1)
	var free []*state
	for _, s := range usable {
		if (deaf || s.fresh(now, age)) && s.free(now) {
			free = append(free, s)
			least = min(least, s.factor(now))
		}
	}
	free = slices.DeleteFunc(free, func(s *state) bool { return !deaf && s.factor(now) > equal*least })
	if len(free) == 0 {
		return nil, 0
	}
	if slices.ContainsFunc(free, p.near) {
		free = slices.DeleteFunc(free, func(s *state) bool { return !p.near(s) })
	}
	s := free[int(p.Random()*float64(len(free)))]
	return s, s.factor(now)
}

// near reports whether a target is in the own zone.
func (p *Placer) near(s *state) bool { return s.Zone == p.Zone }

// deaf reports whether no target has told its load for some time, though a request
// has asked: the health endpoint is out of order, or the network.
func (p *Placer) deaf(t *Ticket, usable []*state, now time.Time) bool {
	return t.tried >= deafRounds && now.Sub(p.heard) > stale && !p.asking(usable, now)
}

// usable returns the targets that a request may be sent to: none that it was sent
// to, and none that is avoided unless most of them are.
func (p *Placer) usable(t *Ticket, now time.Time) []*state {
	var all, good, safe []*state
	for _, id := range p.order {
		s := p.targets[id]
		if slices.Contains(t.Avoid, id) {
			continue
		}
		all = append(all, s)
		if now.Before(s.avoid) {
			continue
		}
		good = append(good, s)
		if s.failed.IsZero() || now.Sub(s.failed) >= careTime {
			safe = append(safe, s)
		}
	}
	switch {
	case t.NonIdempotent && 2*len(safe) >= len(all):
		return safe
	case 2*len(good) >= len(all):
		return good
	}
	return all
}

// asking reports whether an answer of one of some targets, or of another zone, is
// still awaited.
func (p *Placer) asking(usable []*state, now time.Time) bool {
	for _, s := range usable {
		if !s.probe.IsZero() && now.Sub(s.probe) < patience {
			return true
		}
	}
	return p.seeking(now)
}

// refuse turns a request away that cannot be served. The rank is the number of
// requests that start before it.
func (p *Placer) refuse(t *Ticket, usable []*state, rank int, now time.Time) (Rejection, bool) {
	refusal := func(r Reason, wait time.Duration) (Rejection, bool) {
		spread := time.Duration((0.75 + 0.5*p.Random()) * float64(wait))
		return Rejection{Ticket: t, RetryAfter: max(spread, returnLeast), Reason: r}, true
	}
	if len(usable) == 0 {
		return refusal(NoTarget, targetlessReturn)
	}
	if t.Hedge && t.tried > 0 && !p.asking(usable, now) {
		return refusal(NoFreeSlot, 0)
	}
	wait := p.foresee(rank)
	last := t.Deadline.Add(-p.soonest(t))
	if now.After(last) {
		return refusal(DeadlineUnreachable, wait)
	}
	if rank >= foreseen && now.Add(wait).After(last) {
		return refusal(WaitTooLong, wait)
	}
	return Rejection{}, false
}

// foresee returns how long it takes until the requests of a rank have started.
func (p *Placer) foresee(rank int) time.Duration {
	rate := float64(max(len(p.starts), 1)) / rateWindow.Seconds()
	return time.Duration(float64(rank+1) / rate * float64(time.Second))
}

// forget drops starts that are too old to count.
func (p *Placer) forget(now time.Time) {
	old := 0
	for old < len(p.starts) && now.Sub(p.starts[old]) > rateWindow {
		old++
	}
	p.starts = slices.Delete(p.starts, 0, old)
}

// ask begins a round of probes if one is due, for the most urgent request.
func (p *Placer) ask(a *Actions, now time.Time) {
	t := p.waiting[0]
	began := p.round.After(t.Arrived) || t.tried > 0
	if began && now.Sub(p.round) < poll {
		return
	}
	near, abroad := p.askable(t, now)
	targets := p.drawNear(near, now)
	inTime := !now.After(p.latest(t))
	if inTime && t.tried >= homeRounds && t.tried%2 == 0 || len(targets) < 2 || t.Hedge {
		zones, direct := p.seek(abroad, now)
		targets = append(targets, direct...)
		for _, z := range zones {
			p.searches[z] = now
		}
		a.SearchZones = zones
	}
	a.Probes = p.probe(targets, now)
	p.blind = len(a.Probes) == 0 && len(targets) > 0
	p.round = now
	for _, w := range p.waiting {
		w.tried++
	}
}

// probe returns as many of some targets as may be asked.
func (p *Placer) probe(targets []*state, now time.Time) []Target {
	var asked []Target
	for _, s := range targets[:p.AllowProbes(len(targets), now)] {
		s.probe = now
		asked = append(asked, s.Target)
	}
	return asked
}

// askable returns the targets of the own zone and of the others that may have a free
// slot.
func (p *Placer) askable(t *Ticket, now time.Time) (home, abroad []*state) {
	for _, s := range p.usable(t, now) {
		switch {
		case s.mute || len(s.running) >= s.Slots || !s.probe.IsZero() && now.Sub(s.probe) < patience:
		case s.fresh(now, freshness) && !s.free(now):
		case p.near(s):
			home = append(home, s)
		default:
			abroad = append(abroad, s)
		}
	}
	return home, abroad
}

// drawNear returns the targets of the own zone that a round asks: mostly those that
// were heard of a while ago, to which connections are open, and one other, so that
// those that have joined are found.
func (p *Placer) drawNear(near []*state, now time.Time) []*state {
	var familiar, others []*state
	for _, s := range near {
		if s.tells && now.Sub(s.told) < familiarity {
			familiar = append(familiar, s)
		} else {
			others = append(others, s)
		}
	}
	asked := draw(p.Random, others, max(1, nearFan-len(familiar)))
	return append(asked, draw(p.Random, familiar, nearFan-len(asked))...)
}

// draw returns up to most random ones.
func draw[T any](random func() float64, from []T, most int) []T {
	n := min(most, len(from))
	for i := range n {
		j := i + int(random()*float64(len(from)-i))
		from[i], from[j] = from[j], from[i]
	}
	return from[:n]
}

// wake is when the next round is due.
func (p *Placer) wake(now time.Time) time.Time {
	next := p.round.Add(poll)
	if !next.After(now) {
		next = now.Add(poll)
	}
	return next
}
