package placer

import (
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/admitter"
)

// prefer removes the targets that are the last choice from the free ones if another one is
// free or may still report a free slot. If such a target needs a recheck, it returns only
// those that do.
func (p *Placer) prefer(t *Ticket, free, usable []*targetState, now time.Time) []*targetState {
	last := func(s *targetState) bool { return s.admission.Admit(admitter.Request, now).LastChoice }
	if !slices.ContainsFunc(free, last) {
		return free
	}
	var rechecked []*targetState
	for _, s := range free {
		if last(s) && p.isRechecked(t, s, now) {
			rechecked = append(rechecked, s)
		}
	}
	if len(rechecked) > 0 {
		return rechecked
	}
	other := func(s *targetState) bool { return !last(s) }
	mayFindRoom := slices.ContainsFunc(free, other) || t.rounds == 0 || p.awaitsReport(usable, now)
	if slices.ContainsFunc(usable, other) && mayFindRoom {
		return slices.DeleteFunc(free, last)
	}
	return free
}

// isRechecked reports whether a request goes to a target that is the last choice to learn
// whether the reason has ended. That must cost the request nothing.
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
	for _, id := range p.ids {
		opens := p.targets[id].admission.Admit(admitter.Request, now).Opens
		if !opens.IsZero() && !slices.Contains(t.Avoid, id) && (!known || opens.Before(opening)) {
			opening, known = opens, true
		}
	}
	return opening, known
}
