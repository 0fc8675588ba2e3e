package placer

import (
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/admitter"
)

// prefer removes the targets that are the last choice for the request from the free ones if
// another one is free or may still report a free slot. If a limited or cold target needs a
// request, it returns only those that do.
func (p *Placer) prefer(t *Ticket, free []*targetState, usable *candidates, now time.Time) []*targetState {
	last := func(s *targetState) bool {
		a := s.admission.Admit(admitter.Request, now)
		return a.LastChoice || a.Cold && t.NonIdempotent
	}
	var rechecked []*targetState
	for _, s := range free {
		if a := s.admission.Admit(admitter.Request, now); (a.LastChoice || a.Cold) && p.isRechecked(t, s, now) {
			rechecked = append(rechecked, s)
		}
	}
	if len(rechecked) > 0 {
		return rechecked
	}
	if !slices.ContainsFunc(free, last) {
		return free
	}
	other := func(s *targetState) bool { return !last(s) }
	mayFindRoom := slices.ContainsFunc(free, other) || t.rounds == 0 || p.awaitsReport(usable, now)
	if slices.ContainsFunc(usable.targets, other) && mayFindRoom {
		return slices.DeleteFunc(free, last)
	}
	return free
}

// preferAccepting removes the targets that shed many more of their requests than another free
// one. It answers targets that shed although they have room: when all do, each stays in use.
func preferAccepting(free []*targetState, now time.Time) []*targetState {
	least := 1.0
	for _, s := range free {
		least = min(least, s.recentShedShare(now))
	}
	return slices.DeleteFunc(free, func(s *targetState) bool { return s.recentShedShare(now) > least+maxShedShareGap })
}

// isRechecked reports whether a request goes to a limited target to learn whether its limit
// has ended, or to a cold one so that it does not stay unused. That must cost the request
// nothing.
func (p *Placer) isRechecked(t *Ticket, s *targetState, now time.Time) bool {
	if t.Hedge || t.NonIdempotent || p.NeedsRecheck == nil || s.slowdown(now) > maxSlowdownPastObjective {
		return false
	}
	expected := time.Duration(s.slowdown(now) * float64(p.workTime(t)))
	return !now.Add(expected).After(t.ObjectiveTime) && p.NeedsRecheck(s.Target, now)
}

// firstOpening returns when the first of the targets that take no request now takes one, and
// whether that is known of any target for the request.
func (p *Placer) firstOpening(t *Ticket, now time.Time) (opening time.Time, known bool) {
	for _, s := range p.states {
		opens := s.admission.Admit(admitter.Request, now).Opens
		if !opens.IsZero() && !slices.Contains(t.Avoid, s.ID) && (!known || opens.Before(opening)) {
			opening, known = opens, true
		}
	}
	return opening, known
}
