package placer

import "time"

const (
	// arrivalTime is how long before a report was asked for a request must have been sent
	// for the report to include it. It allows for one retransmission.
	arrivalTime = 300 * time.Millisecond
	// minArrivalTime is how long before a report was asked for a request must have been sent
	// for the report to cast doubt on it.
	minArrivalTime = 20 * time.Millisecond
	// silentMemory is how long after a dropped request the targets of a service are taken
	// to drop what they have no room for. The room of a service changes within seconds.
	silentMemory = 10 * time.Second
)

// RecordDropped reports whether a target has certainly dropped a request without a
// response: it reports fewer requests than this instance alone has sent to it before. If
// so, the request no longer counts as running, and the target is not blamed: it responds
// to others. A target that hangs, or is slow, still reports the request.
func (p *Placer) RecordDropped(id string, t *Ticket, now time.Time) bool {
	s := p.targets[id]
	if s == nil || !s.hasDropped(t, arrivalTime) {
		return false
	}
	s.removeRequest(t)
	p.lastDropped = now
	return true
}

// ReportsLoad reports whether a target reports its load.
func (p *Placer) ReportsLoad(id string) bool {
	s := p.targets[id]
	return s != nil && s.reportsLoad
}

// LacksReport reports whether a target that reports its load has not done so since a
// request was sent to it.
func (p *Placer) LacksReport(id string, t *Ticket) bool {
	s := p.targets[id]
	return s != nil && s.reportsLoad && s.askedAt.Sub(s.running[t]) < minArrivalTime
}

// hasDropped reports whether the last report shows that a request is not at the target,
// if requests arrive within the given time. Which one of several requests was dropped is
// not known; the caller asks for those that are overdue.
func (s *targetState) hasDropped(t *Ticket, arrival time.Duration) bool {
	began, running := s.running[t]
	if !running || !s.reportsLoad || s.askedAt.Sub(began) < arrival {
		return false
	}
	sent := 0
	for _, b := range s.running {
		if s.askedAt.Sub(b) >= arrival {
			sent++
		}
	}
	return s.load.Running+s.load.Waiting < sent
}

// needsRoom reports whether a request may be sent only to a target that has just reported
// a free slot: it must not run twice, and targets of the service have dropped requests.
func (p *Placer) needsRoom(t *Ticket, now time.Time) bool {
	return t.NonIdempotent && !p.lastDropped.IsZero() && now.Sub(p.lastDropped) < silentMemory
}
