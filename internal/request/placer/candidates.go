package placer

import (
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/admitter"
)

// candidates holds the targets that a request may be sent to, at one moment. In a burst each
// report is a moment at which all waiting requests are decided, and few targets have
// reported lately; so what is the same for all requests is found once.
type candidates struct {
	targets []*targetState
	// reported holds the targets that may be chosen by their load: they have reported it
	// within staleReportAge, or they are not probed.
	reported []*targetState
	// hasLocal means that one of the targets is in the zone of this instance.
	hasLocal bool
	// awaited means that a probe of one of the targets is outstanding.
	awaited bool
	// valid means that they are those of the current step.
	valid bool
}

// collect finds the candidates for a request. It excludes targets that the request was sent
// to, targets that take no request now, and avoided targets unless most targets are avoided.
// For a non-idempotent request it also excludes targets with a recent failure, unless most
// targets have one or are avoided.
func (p *Placer) collect(c *candidates, t *Ticket, now time.Time) {
	c.targets, c.reported = c.targets[:0], c.reported[:0]
	good, safe := 0, 0
	for _, s := range p.states {
		if slices.Contains(t.Avoid, s.ID) || !s.admission.Admit(admitter.Request, now).Admitted {
			continue
		}
		c.targets = append(c.targets, s)
		if s.isGood(now) {
			good++
		}
		if s.isSafe(now) {
			safe++
		}
	}
	switch all := len(c.targets); {
	case t.NonIdempotent && 2*safe >= all:
		c.targets = slices.DeleteFunc(c.targets, func(s *targetState) bool { return !s.isSafe(now) })
	case 2*good >= all:
		c.targets = slices.DeleteFunc(c.targets, func(s *targetState) bool { return !s.isGood(now) })
	}
	c.hasLocal, c.awaited = false, false
	for _, s := range c.targets {
		c.hasLocal = c.hasLocal || p.isLocal(s)
		c.awaited = c.awaited || s.isAwaited(now)
		if s.fresh(now, staleReportAge) {
			c.reported = append(c.reported, s)
		}
	}
}

// usable returns the candidates for a request in the current step. They hold until it is
// called again.
func (p *Placer) usable(t *Ticket, now time.Time) *candidates {
	if len(t.Avoid) > 0 {
		p.collect(&p.own, t, now)
		return &p.own
	}
	c := &p.idempotent
	if t.NonIdempotent {
		c = &p.nonIdempotent
	}
	if !c.valid {
		p.collect(c, t, now)
		c.valid = true
	}
	return c
}

// isGood reports whether the target is not avoided.
func (s *targetState) isGood(now time.Time) bool { return !now.Before(s.avoidUntil) }

// isSafe reports whether the target is not avoided and has not failed a request lately.
func (s *targetState) isSafe(now time.Time) bool {
	return s.isGood(now) && (s.lastFailure.IsZero() || now.Sub(s.lastFailure) >= recentFailureTime)
}

// isAwaited reports whether a probe of the target is outstanding.
func (s *targetState) isAwaited(now time.Time) bool {
	return !s.probeSent.IsZero() && now.Sub(s.probeSent) < probeTimeout
}
