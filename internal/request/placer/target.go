package placer

import (
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/admitter"
)

// Target is a target of the service. Each run of its process is another Target.
type Target struct {
	// ID identifies the run among the runs of all targets.
	ID string
	// Name is the identifier that the target gives itself.
	Name    string
	Address netip.AddrPort
	Zone    string
	// Slots is the number of requests that the target works on at once; at least 1.
	Slots int
	// WarmupEnd is when the target's slow period after its start ends.
	WarmupEnd time.Time
}

// Load is the load that a target reports.
type Load struct {
	// Running and Waiting count requests of all instances.
	Running, Waiting int
	// Slots is the number of requests that the target works on at once.
	Slots int
	// Slowdown is the time that work takes now over its usual time.
	Slowdown float64
}

// The bounds on a load report. Sums and products of greater numbers exceed their types, so that a
// busy target looks idle.
const (
	maxReported         = 1 << 20
	maxReportedSlowdown = 1e4
)

// bounded returns the load with numbers that can be computed with.
func (l Load) bounded() Load {
	count := func(n int) int { return min(max(n, 0), maxReported) }
	l.Running, l.Waiting, l.Slots = count(l.Running), count(l.Waiting), count(l.Slots)
	if !(l.Slowdown <= maxReportedSlowdown) {
		l.Slowdown = maxReportedSlowdown
	}
	l.Slowdown = max(l.Slowdown, 0)
	return l
}

// Ending is the way a request ended at a target.
type Ending int

// The endings of a request.
const (
	// Served means that a complete response arrived.
	Served Ending = iota
	// Failed means that the target failed the request.
	Failed
	// Shed means that the target rejected the request.
	Shed
	// NoCompleteResponse means that no complete response arrived or that the request
	// was not sent.
	NoCompleteResponse
	// Canceled means that this instance gave the request up, which says nothing about
	// the target.
	Canceled
)

const (
	// saturationShare is the share of busy slots above which targets slow down.
	saturationShare = 0.8
	// saturationSlowdown is the slowdown that is assumed above saturationShare. The
	// targets' own slowdowns correct it by measured work times.
	saturationSlowdown = 1.6
	// warmupSlowdown is the assumed slowdown of a target that has just started.
	warmupSlowdown = 2.0
	// failureGain is the weight of the newest request in the failure share.
	failureGain = 0.3
	// avoidFailureShare is the failure share from which a target is avoided.
	avoidFailureShare = 0.4
	// minAvoidTime and maxAvoidTime bound how long a target is avoided.
	minAvoidTime = time.Second
	maxAvoidTime = 8 * time.Second
	// recentFailureTime is how long after a failure a target gets no non-idempotent
	// request, if there are enough other targets, and how long after it has shed a request
	// others are preferred.
	recentFailureTime = 3 * time.Second
	// maxShedShareGap is the difference of shed shares up to which two targets count as
	// equal. The shares are coarse: an instance has few requests a second at each target.
	maxShedShareGap = 0.4
	// avoidFailedProbes is the number of consecutive failed probes from which a target
	// is avoided.
	avoidFailedProbes = 2
	// ownSlowdownGain is the weight of the newest request in a target's own slowdown.
	ownSlowdownGain = 0.1
	// minOwnSlowdown and maxOwnSlowdown bound a target's own slowdown.
	minOwnSlowdown = 0.5
	maxOwnSlowdown = 3.0
)

// targetState holds what the placer knows about one target.
type targetState struct {
	Target
	// running holds the start of each of this instance's requests at the target.
	running map[*Ticket]time.Time
	load    Load
	// reportsLoad means that the target reports its load.
	reportsLoad bool
	// answeredWithoutLoad means that the target has answered a probe without
	// reporting its load.
	answeredWithoutLoad bool
	// askedAt is when the request or probe was sent whose response held the load, and
	// reportedAt is when that response arrived.
	askedAt, reportedAt time.Time
	// endedSinceReport counts this instance's requests that are included in the report
	// and have ended since.
	endedSinceReport int
	// probeSent is when the outstanding probe was sent; zero means that there is none.
	probeSent time.Time
	// failedProbes counts the failed probes since the target last responded to a probe
	// or reported its load.
	failedProbes int
	// failureShare is the moving average of the share of requests that failed.
	failureShare float64
	// shedShare is the moving average of the share of requests that the target shed, and
	// lastShed is when it last shed one; zero means never.
	shedShare float64
	lastShed  time.Time
	// lastFailure is when a request last failed at the target; zero means never.
	lastFailure time.Time
	// avoidUntil is when the target may get requests again, and avoidTime is how long
	// it was avoided last.
	avoidUntil time.Time
	avoidTime  time.Duration
	// admission says whether the target may be used now.
	admission *admitter.Run
	// ownSlowdown is the target's work time divided by the usual work time, after the
	// reported slowdown and the assumed ones for saturation and warmup are divided out.
	ownSlowdown float64
}

func newTargetState(t Target, ownSlowdown float64, r *admitter.Run) *targetState {
	return &targetState{Target: t, admission: r, running: map[*Ticket]time.Time{}, ownSlowdown: ownSlowdown}
}

// activeRequests estimates the number of requests of all instances at the target
// now. An old report says nothing about the requests of other instances, so without a
// recent report only this instance's requests count.
func (s *targetState) activeRequests(now time.Time) int {
	if !s.reportsLoad || now.Sub(s.reportedAt) > staleReportAge {
		return len(s.running)
	}
	n := s.load.Running + s.load.Waiting - s.endedSinceReport
	for _, began := range s.running {
		if !began.Before(s.askedAt) {
			n++
		}
	}
	return max(n, len(s.running))
}

// hasFreeSlot reports whether a request would start at once.
func (s *targetState) hasFreeSlot(now time.Time) bool { return s.activeRequests(now) < s.Slots }

// fresh reports whether the last report is at most the given age. A target that
// answers probes without reporting load counts as fresh, and so does one that is not
// probed.
func (s *targetState) fresh(now time.Time, age time.Duration) bool {
	return s.answeredWithoutLoad || !s.admission.Admit(admitter.Probe, now).Admitted || s.reportsLoad && now.Sub(s.reportedAt) <= age
}

// slowdown returns the expected slowdown of a request that starts now.
func (s *targetState) slowdown(now time.Time) float64 {
	slowdown := s.ownSlowdown
	if s.reportsLoad && now.Sub(s.reportedAt) <= staleReportAge {
		slowdown *= s.load.Slowdown
	}
	if float64(s.activeRequests(now)+1) > saturationShare*float64(s.Slots) {
		slowdown *= saturationSlowdown
	}
	if now.Before(s.WarmupEnd) {
		slowdown *= warmupSlowdown
	}
	return slowdown
}

// setReport records the load in the response to a request or probe that was sent at
// asked.
func (s *targetState) setReport(l Load, asked, now time.Time) {
	l = l.bounded()
	s.reportsLoad, s.load, s.askedAt, s.reportedAt, s.endedSinceReport = true, l, asked, now, 0
	if l.Slots > 0 {
		s.Slots = l.Slots
	}
}

// removeRequest removes a request that has ended.
func (s *targetState) removeRequest(t *Ticket) (began time.Time, known bool) {
	began, known = s.running[t]
	delete(s.running, t)
	if known && began.Before(s.askedAt) {
		s.endedSinceReport++
	}
	return began, known
}

// recordResult updates the failure share with one request.
func (s *targetState) recordResult(failed bool, now time.Time) {
	s.failureShare *= 1 - failureGain
	s.shedShare *= 1 - failureGain
	if !failed {
		if s.failureShare < failureGain {
			// The target has recovered: the next time to avoid it is minAvoidTime again.
			s.avoidTime = 0
		}
		return
	}
	s.failureShare += failureGain
	s.lastFailure = now
	if s.failureShare >= avoidFailureShare {
		s.avoid(now)
	}
}

// recordShed records a request that the target has shed. The target is not avoided: the
// request may run elsewhere, and avoiding targets while all of them shed leaves no room.
func (s *targetState) recordShed(now time.Time) {
	s.shedShare += failureGain * (1 - s.shedShare)
	s.lastShed = now
}

// recentShedShare returns the share of requests that the target sheds, or 0 if it has shed
// none for recentFailureTime.
func (s *targetState) recentShedShare(now time.Time) float64 {
	if now.Sub(s.lastShed) >= recentFailureTime {
		return 0
	}
	return s.shedShare
}

// avoid keeps requests away from the target for some time. The time doubles while
// the target does not recover.
func (s *targetState) avoid(now time.Time) {
	if now.Before(s.avoidUntil) {
		return
	}
	s.avoidTime = min(max(2*s.avoidTime, minAvoidTime), maxAvoidTime)
	s.avoidUntil = now.Add(s.avoidTime)
	// One more failure after that time avoids the target again.
	s.failureShare = avoidFailureShare - failureGain/2
}

// learnOwnSlowdown adjusts the target's own slowdown after a served request. ratio is
// the measured work time divided by the expected work time.
func (s *targetState) learnOwnSlowdown(ratio float64) {
	s.ownSlowdown += ownSlowdownGain * (ratio*s.ownSlowdown - s.ownSlowdown)
	s.ownSlowdown = min(max(s.ownSlowdown, minOwnSlowdown), maxOwnSlowdown)
}
