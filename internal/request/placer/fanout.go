package placer

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/request/admitter"
)

const (
	// minFanout is the least number of local targets that a round probes, so that one slow
	// or lost response does not hold a request up.
	minFanout = 2
	// sureShare is the share of the short rounds that are to find a target at which the
	// request can start. The others cost it the time of a probe.
	sureShare = 0.8
	// shortRounds is the number of rounds of a request that may be short.
	shortRounds = 2
	// hitGain is the weight of the newest report in the hit share.
	hitGain = 0.02
)

// recordHit updates the share of the probes whose report lets any request start.
func (p *Placer) recordHit(s *targetState, now time.Time) {
	hit, a := 0.0, s.admission.Admit(admitter.Request, now)
	if a.Admitted && !a.Cold && !a.LastChoice && s.hasFreeSlot(now) && s.slowdown(now) <= maxSlowdownPastObjective {
		hit = 1
	}
	p.hitShare += hitGain * (hit - p.hitShare)
}

// shortFanout returns the number of local targets that a short round probes: the fewest of
// which one is free and not slow with a probability of sureShare. It answers the
// load at which most targets are free, where a second probe seldom tells anything, on
// instances on which each probe takes processor time from requests.
func (p *Placer) shortFanout() int {
	n, missed := 0, 1.0
	for n < localFanout && (n < minFanout || 1-missed < sureShare) {
		n, missed = n+1, missed*(1-p.hitShare)
	}
	return n
}
