package placer

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/request/rationer"
)

// Deferral tells that a request has left a free slot to others for the first time.
type Deferral struct {
	Ticket *Ticket
	Cause  rationer.Standing
}

// rationed describes a request to the rationer.
func (p *Placer) rationed(t *Ticket) rationer.Request {
	return rationer.Request{
		Kind: t.Kind, Priority: t.Priority, Arrived: t.Arrived, LatestStart: p.latestStart(t),
		LastStart: t.lastStart(p.shortestWorkTime(t)), ReturnsLate: t.returnsLate,
	}
}

// standing returns the standing of a waiting request.
func (p *Placer) standing(t *Ticket, now time.Time) rationer.Standing {
	q := p.rationed(t)
	if !t.Hedge {
		p.rationer.Wait(q, now)
	}
	return p.rationer.Standing(q, now)
}

// hasRoom reports whether the target has a free slot for a request of a standing. Slots
// are reserved by reports only, because other instances' requests are unknown without.
func (s *targetState) hasRoom(standing rationer.Standing, now time.Time) bool {
	reserve := 0
	if s.reportsLoad {
		reserve = standing.Reserve(s.Slots)
	}
	return s.activeRequests(now)+reserve < s.Slots
}

// recordDeferral records that a request leaves a free slot to others.
func (p *Placer) recordDeferral(t *Ticket, cause rationer.Standing) {
	if !t.deferred {
		t.deferred = true
		p.deferrals = append(p.deferrals, Deferral{Ticket: t, Cause: cause})
	}
}
