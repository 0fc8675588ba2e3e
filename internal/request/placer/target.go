package placer

import (
	"net/netip"
	"time"
)

// Target is one run of a target's process.
type Target struct {
	// ID names the run among all runs.
	ID string
	// Name is the identifier that the target gives itself.
	Name    string
	Address netip.AddrPort
	Zone    string
	// Slots is the number of requests that the target works on at once; at least 1.
	Slots int
	// WarmupEnd is until when the target is slow after its start.
	WarmupEnd time.Time
}

// Load is what a target reports of itself.
type Load struct {
	// Running and Waiting count requests of all instances.
	Running, Waiting int
	// Slots is the number of requests that the target works on at once.
	Slots int
	// Slowdown is the time that work takes at this moment over the usual time.
	Slowdown float64
}

// Ending tells how a request at a target ended.
type Ending int

// The endings of a request.
const (
	// Served requests got a whole answer.
	Served Ending = iota
	// Failed requests were failed by the target.
	Failed
	// Shed requests were turned away by the target.
	Shed
	// NoCompleteResponse requests got no whole answer, or never left.
	NoCompleteResponse
	// Canceled requests were given up on this side; this says nothing of the target.
	Canceled
)

const (
	// kneeShare is the share of busy slots from which targets slow down.
	kneeShare = 0.8
	// kneeFactor is how much longer work takes beyond it, until measured better.
	kneeFactor = 1.6
	// coldFactor is how much longer work takes on a target that has just started.
	coldFactor = 2.0
	// failureMemory is the weight of the newest request in the failure share.
	failureMemory = 0.3
	// failureLimit is the failure share from which a target is avoided.
	failureLimit = 0.4
	// avoidLeast and avoidMost bound the growing time for which it is avoided.
	avoidLeast = time.Second
	avoidMost  = 8 * time.Second
	// careTime is how long after a failure a target gets no request that must not
	// run twice, if there are others.
	careTime = 3 * time.Second
	// silentProbes is the number of unanswered probes in a row after which a target
	// is avoided.
	silentProbes = 2
	// paceMemory is the weight of the newest request in a target's own speed.
	paceMemory = 0.1
	// bestOwn and worstOwn bound a target's own speed relative to its service.
	bestOwn  = 0.5
	worstOwn = 3.0
)

// state is what is known of one target.
type state struct {
	Target
	// running holds the start of each of this instance's requests at the target.
	running map[*Ticket]time.Time
	load    Load
	// tells means that the target reports its load.
	tells bool
	// mute means that the target has answered a probe without reporting its load.
	mute bool
	// asked is when the probe left that brought load; told is when it arrived.
	asked, told time.Time
	// ended counts the requests that the report still holds and that have ended since.
	ended int
	// probe is when the probe under way was sent; zero when there is none.
	probe time.Time
	// silent counts unanswered probes in a row.
	silent int
	// failures is the moving share of requests that the target failed.
	failures float64
	// failed is when the last request failed.
	failed time.Time
	// avoid is until when the target gets no requests; term is how long it was
	// avoided last.
	avoid time.Time
	term  time.Duration
	// own is the target's time of work relative to its service, at equal pace.
	own float64
}

func newState(t Target, own float64) *state {
	return &state{Target: t, running: map[*Ticket]time.Time{}, own: own}
}

// busy estimates the requests at the target now, those of others included. A
// report that is out of date says nothing of the others.
func (s *state) busy(now time.Time) int {
	if !s.tells || now.Sub(s.told) > stale {
		return len(s.running)
	}
	n := s.load.Running + s.load.Waiting - s.ended
	for _, began := range s.running {
		if !began.Before(s.asked) {
			n++
		}
	}
	return max(n, len(s.running))
}

// free reports whether a request would start at once.
func (s *state) free(now time.Time) bool { return s.busy(now) < s.Slots }

// fresh reports whether what is known of the target is young enough to choose by.
func (s *state) fresh(now time.Time, age time.Duration) bool {
	return s.mute || s.tells && now.Sub(s.told) <= age
}

// factor is how much longer than usual a request that starts now would take.
func (s *state) factor(now time.Time) float64 {
	f := s.own
	if s.tells && now.Sub(s.told) <= stale {
		f *= s.load.Slowdown
	}
	if float64(s.busy(now)+1) > kneeShare*float64(s.Slots) {
		f *= kneeFactor
	}
	if now.Before(s.WarmupEnd) {
		f *= coldFactor
	}
	return f
}

// report takes in what the target said in answer to what was sent at asked.
func (s *state) report(l Load, asked, now time.Time) {
	s.tells, s.load, s.asked, s.told, s.ended = true, l, asked, now, 0
	if l.Slots > 0 {
		s.Slots = l.Slots
	}
}

// end takes a request out.
func (s *state) end(t *Ticket) (began time.Time, known bool) {
	began, known = s.running[t]
	delete(s.running, t)
	if known && began.Before(s.asked) {
		s.ended++
	}
	return began, known
}

// judge counts a request's ending for or against the target.
func (s *state) judge(bad bool, now time.Time) {
	s.failures *= 1 - failureMemory
	if !bad {
		if s.failures < failureMemory {
			s.term = 0
		}
		return
	}
	s.failures += failureMemory
	s.failed = now
	if s.failures >= failureLimit {
		s.shun(now)
	}
}

// shun avoids the target for a time that doubles while it does not recover.
func (s *state) shun(now time.Time) {
	if now.Before(s.avoid) {
		return
	}
	s.term = min(max(2*s.term, avoidLeast), avoidMost)
	s.avoid = now.Add(s.term)
	// One more failure after the pause avoids the target again.
	s.failures = failureLimit - failureMemory/2
}

// learn adjusts the target's own speed by a served request.
func (s *state) learn(ratio float64) {
	s.own += paceMemory * (ratio*s.own - s.own)
	s.own = min(max(s.own, bestOwn), worstOwn)
}
