package placer

import (
	"slices"
	"strings"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/admitter"
	"oriolecourse.example/oriolecourse/internal/request/rationer"
)

// Timing and limits of the choice.
const (
	// freshReportAge is the age up to which a report is used to choose a target. The
	// speed of targets changes about every 100 ms.
	freshReportAge = 6 * time.Millisecond
	// staleReportAge is the age above which a report is ignored. While probes are
	// denied, a request uses reports up to this age, once it has waited for as long as the
	// report was old on its arrival. In a burst of some seconds the probes are used up, and old reports
	// show slots that other instances have taken since: targets then reset requests, whose
	// outcome is unknown.
	staleReportAge = 500 * time.Millisecond
	// noReportRounds is the number of rounds of probes, without any report for
	// staleReportAge, after which a target is chosen by this instance's own request
	// counts.
	noReportRounds = 2
	// probeTimeout is how long the placer waits for the response to a probe or to a
	// search in a remote zone.
	probeTimeout = 30 * time.Millisecond
	// probeInterval is the time between two rounds of probes while requests wait.
	probeInterval = 20 * time.Millisecond
	// localFanout and remoteFanout are the maximum numbers of local and of remote
	// targets that a round probes. Short rounds probe fewer local ones while most are free.
	localFanout  = 4
	remoteFanout = 3
	// exploreShare is the share of the requests whose first round probes a target without
	// an open connection although there are enough with one. New targets are found that
	// way. Later rounds always do so, since the connected targets had no free slot.
	exploreShare = 0.25
	// openConnectionAge is how long after a report the connection to the target is
	// assumed to be open. It is half of 10 s, the usual idle timeout of targets.
	openConnectionAge = 5 * time.Second
	// localRounds is the number of rounds after which every second round covers remote
	// zones too. Traffic between zones costs more than a short wait.
	localRounds = 2
	// defaultLocalWait is the initial Placer.LocalWait.
	defaultLocalWait = 0.25
	// equalRatio is the ratio up to which two slowdowns count as equal, because the
	// estimates are no more exact than that.
	equalRatio = 1.15
	// immediateSlowdown is the slowdown up to which a target is taken without waiting
	// for the other reports of the round.
	immediateSlowdown = 1.2
	// maxSlowdownPastObjective is the slowdown up to which a target is taken for a
	// request that misses its objective. On a slower target the request would hold a
	// slot for as long as several requests that can still meet theirs.
	maxSlowdownPastObjective = 2.0
	// assumedWorkShare is the work time, as a share of the latency objective, that is
	// assumed until a request of the kind has been measured.
	assumedWorkShare = 0.4
	// maxWorkShare is the longest work time that is learned from a request, as a share of
	// the latency objective. With a longer one the objective could hardly ever be met.
	maxWorkShare = 0.6
	// workTimeGain is the weight of the newest request in the work time of its kind.
	workTimeGain = 0.1
	// priorityStep is the head start of one priority over the next.
	priorityStep = 200 * time.Millisecond
	// agingDelay is the wait after which the priority no longer counts, so that less
	// urgent requests do not starve.
	agingDelay = time.Second
	// startRateWindow is the period over which the rate of starts is measured.
	startRateWindow = time.Second
	// minRankForForecast is the number of requests ahead from which a request can be
	// rejected by its expected wait.
	minRankForForecast = 12
	// minRetryAfter is the shortest Rejection.RetryAfter.
	minRetryAfter = 50 * time.Millisecond
	// shedRetryAfter is the time after which a client may return, before jitter, if targets
	// shed its request although they have room. It lets the client's turn come while its
	// objective can still be met.
	shedRetryAfter = 20 * time.Millisecond
	// noTargetRetryAfter is Rejection.RetryAfter, before jitter, while there are no
	// targets: about the time in which updates of the targets arrive.
	noTargetRetryAfter = 300 * time.Millisecond
)

// Placer places the requests of one service. It is not safe for concurrent use.
type Placer struct {
	// Zone is the availability zone of the instance.
	Zone string
	// Random returns a number in [0, 1).
	Random func() float64
	// AllowProbes grants up to n probes and returns the number granted.
	AllowProbes func(n int, now time.Time) int

	// Admitter holds the state of the targets' runs that decides whether they may be used.
	Admitter *admitter.Admitter

	// LocalWait is the share of its slack for which a request waits for a target of its
	// own zone before remote zones are covered. The slack is the longest wait after which
	// the request still meets its objective at a slowdown of 1.
	LocalWait float64
	// CanSearch reports whether an instance in a remote zone can be asked for targets
	// with a free slot. If it is nil or returns false, the placer probes the targets of
	// the zone itself.
	CanSearch func(zone string, now time.Time) bool
	// NeedsRecheck reports whether a limited or cold target may get a request although other
	// targets have room. If it is nil, none may.
	NeedsRecheck func(t Target, now time.Time) bool

	// rationer divides the service's room while it is short.
	rationer *rationer.Rationer
	// deferrals holds those of the current step.
	deferrals []Deferral
	targets   map[string]*targetState
	// searches holds the start of the outstanding search in each remote zone.
	searches map[string]time.Time
	// states holds the targets, sorted by identifier.
	states  []*targetState
	waiting []*Ticket
	// idempotent and nonIdempotent hold the candidates in the current step for requests that
	// were sent to no target yet, own those for another request.
	idempotent, nonIdempotent, own candidates
	// free holds the free targets of one choice.
	free []*targetState
	// workTimes holds the work time of each kind at a slowdown of 1.
	workTimes map[string]time.Duration
	// lastRound is when the last round of probes began.
	lastRound time.Time
	// probesDenied means that AllowProbes granted no probe in the last round.
	probesDenied bool
	// isShort means that the last round probed fewer than localFanout local targets although
	// there were more.
	isShort bool
	// hitShare is the moving average of the share of the probes whose report lets a request
	// start.
	hitShare float64
	// lastReport is when a target last reported its load.
	lastReport time.Time
	// lastDropped is when a target was last found to have dropped a request; zero means
	// never.
	lastDropped time.Time
	// starts holds the times of the grants within startRateWindow.
	starts []time.Time
	// stopEnd is the end of the instance's stop; zero while it does not stop.
	stopEnd time.Time
}

// New returns a placer without targets.
func New(zone string, random func() float64, allowProbes func(n int, now time.Time) int) *Placer {
	return &Placer{
		Zone: zone, Random: random, AllowProbes: allowProbes, LocalWait: defaultLocalWait,
		Admitter: admitter.New(), rationer: rationer.New(),
		targets: map[string]*targetState{}, searches: map[string]time.Time{}, workTimes: map[string]time.Duration{},
	}
}

// SetTargets replaces the targets that may get new requests. It keeps the state of
// targets that stay.
func (p *Placer) SetTargets(targets []Target) {
	next := make(map[string]*targetState, len(targets))
	p.states = make([]*targetState, 0, len(targets))
	mean := p.meanOwnSlowdown()
	for _, t := range targets {
		s := p.targets[t.ID]
		if s == nil {
			s = newTargetState(t, mean, p.Admitter.Run(t.ID))
		}
		if !s.reportsLoad {
			s.Slots = max(t.Slots, 1)
		}
		s.Zone, s.Address, s.WarmupEnd = t.Zone, t.Address, t.WarmupEnd
		next[t.ID] = s
		p.states = append(p.states, s)
	}
	slices.SortFunc(p.states, func(a, b *targetState) int { return strings.Compare(a.ID, b.ID) })
	p.targets = next
}

// SetWarmupEnd sets when a target's slow period after its start ends.
func (p *Placer) SetWarmupEnd(id string, end time.Time) {
	if s := p.targets[id]; s != nil {
		s.WarmupEnd = end
	}
}

// meanOwnSlowdown returns the mean of the targets' own slowdowns. It is the initial
// value for a new target, because own slowdowns are relative to each other, not to a
// fixed value.
func (p *Placer) meanOwnSlowdown() float64 {
	sum := 0.0
	for _, s := range p.targets {
		sum += s.ownSlowdown
	}
	if sum == 0 {
		return 1
	}
	return sum / float64(len(p.targets))
}

// Submit adds a request. Step decides about it.
func (p *Placer) Submit(t *Ticket) {
	if !t.Hedge && len(t.Avoid) == 0 {
		t.Returned, t.returnsLate = p.rationer.Arrive(t.Kind, t.Patience, t.Arrived)
	}
	p.limitDeadline(t)
	p.waiting = append(p.waiting, t)
}

// Withdraw removes a waiting request, for example when its client has disconnected.
func (p *Placer) Withdraw(t *Ticket) {
	p.waiting = slices.DeleteFunc(p.waiting, func(o *Ticket) bool { return o == t })
}

// RejectAll rejects all waiting requests for a reason.
func (p *Placer) RejectAll(reason Reason) []Rejection {
	var all []Rejection
	for _, t := range p.waiting {
		all = append(all, Rejection{Ticket: t, RetryAfter: minRetryAfter, Reason: reason})
	}
	p.waiting = nil
	return all
}

// ForgetFailures forgets the failures of all targets: their cause was elsewhere.
func (p *Placer) ForgetFailures() {
	for _, s := range p.targets {
		s.failedProbes, s.failureShare, s.lastFailure = 0, 0, time.Time{}
		s.avoidUntil, s.avoidTime = time.Time{}, 0
	}
}

// Waiting returns the number of waiting requests.
func (p *Placer) Waiting() int { return len(p.waiting) }

// Report records the load that a target reported in its response to a request or
// probe. asked is when the request or probe was sent.
func (p *Placer) Report(id string, l Load, asked, now time.Time) {
	if s := p.targets[id]; s != nil {
		probed := s.isAwaited(now)
		s.setReport(l, asked, now)
		if probed {
			p.recordHit(s, now)
		}
		p.lastReport = now
		s.failedProbes, s.probeSent = 0, time.Time{}
	}
}

// AnsweredWithoutLoad records that a target answered a probe without reporting its
// load.
func (p *Placer) AnsweredWithoutLoad(id string) {
	if s := p.targets[id]; s != nil {
		s.answeredWithoutLoad, s.failedProbes, s.probeSent = true, 0, time.Time{}
	}
}

// ProbeFailed records that a probe got no response, or a response that reports an
// unhealthy target.
func (p *Placer) ProbeFailed(id string, now time.Time) {
	s := p.targets[id]
	if s == nil {
		return
	}
	s.probeSent = time.Time{}
	if s.failedProbes++; s.failedProbes >= avoidFailedProbes {
		s.avoid(now)
	}
}

// SetLimited records whether a target names a limit.
func (p *Placer) SetLimited(id string, limited bool) {
	p.Admitter.Run(id).SetLimited(limited)
}

// Withhold records that a granted request was not sent, because the target takes no
// request until the given time.
func (p *Placer) Withhold(id string, t *Ticket, until, now time.Time) {
	s := p.targets[id]
	if s == nil {
		return
	}
	if began, known := s.removeRequest(t); known {
		if k := slices.Index(p.starts, began); k >= 0 {
			p.starts = slices.Delete(p.starts, k, k+1)
		}
	}
	s.admission.Close(until, now)
}

// ReportSlow records that a request takes much longer at a target than expected. It
// counts as a failure of the target, unless the request has ended or the target may have
// dropped it.
func (p *Placer) ReportSlow(id string, t *Ticket, now time.Time) {
	s := p.targets[id]
	if s == nil || s.hasDropped(t, minArrivalTime) {
		return
	}
	if _, running := s.running[t]; running {
		s.recordResult(true, now)
	}
}

// End records the end of a granted request.
func (p *Placer) End(id string, t *Ticket, e Ending, now time.Time) {
	s := p.targets[id]
	if s == nil {
		return
	}
	began, known := s.removeRequest(t)
	switch e {
	case Canceled:
	case Served:
		s.recordResult(false, now)
		if known {
			p.learnWorkTime(s, t, now.Sub(began))
		}
	case Shed:
		s.recordShed(now)
	default:
		s.recordResult(true, now)
	}
}

// learnWorkTime updates the work time of the request's kind and the own slowdown of
// the target.
func (p *Placer) learnWorkTime(s *targetState, t *Ticket, took time.Duration) {
	if t.slowdown == 0 {
		return
	}
	// A request that was held up on its way says little, and with a work time past its
	// deadline no request of the kind would start again.
	work := min(float64(took)/t.slowdown, maxWorkShare*float64(t.LatencyObjective))
	before, known := p.workTimes[t.Kind]
	if !known {
		p.workTimes[t.Kind] = time.Duration(work)
		return
	}
	p.workTimes[t.Kind] = before + time.Duration(workTimeGain*(work-float64(before)))
	if before > 0 {
		s.learnOwnSlowdown(work / float64(before))
	}
}

// workTime returns the expected work time of a request at a slowdown of 1.
func (p *Placer) workTime(t *Ticket) time.Duration {
	if w, known := p.workTimes[t.Kind]; known {
		return w
	}
	return time.Duration(assumedWorkShare * float64(t.LatencyObjective))
}

// shortestWorkTime returns a lower estimate of the time that a request takes at a
// target. While targets are overloaded, the measured work time is too long to tell
// which requests cannot be served, so maxWorkShare bounds the estimate.
func (p *Placer) shortestWorkTime(t *Ticket) time.Duration {
	return min(p.workTime(t), time.Duration(maxWorkShare*float64(t.LatencyObjective)))
}

// latestStart returns the last moment at which a start at a slowdown of 1 meets the
// objective.
func (p *Placer) latestStart(t *Ticket) time.Time { return t.ObjectiveTime.Add(-p.workTime(t)) }
