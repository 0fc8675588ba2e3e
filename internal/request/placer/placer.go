package placer

import (
	"slices"
	"time"
)

// Timing of the choice.
const (
	// freshness is the age up to which a report is chosen by. Speeds change every
	// tenth of a second or so.
	freshness = 6 * time.Millisecond
	// stale is the age from which a report says nothing; up to it, a choice without
	// probes goes by it.
	stale = 500 * time.Millisecond
	// deafRounds is the number of rounds without any answer after which a request
	// goes by own counts.
	deafRounds = 2
	// patience is how long a probe is waited for.
	patience = 30 * time.Millisecond
	// poll is the time between two rounds of probes while requests wait.
	poll = 20 * time.Millisecond
	// nearFan and farFan are the numbers of targets that a round asks in the own zone and
	// in others.
	nearFan = 4
	farFan  = 3
	// familiarity is how long after a report a connection to the target is taken to be
	// open still: half of the idle timeout of common targets, 10 s.
	familiarity = 5 * time.Second
	// homeRounds is the number of rounds after which targets of other zones are
	// asked too: bytes between zones cost more than a short wait.
	homeRounds = 2
	// equal is the ratio up to which two factors count as the same: estimates are
	// not better than that.
	equal = 1.15
	// excellent is the factor up to which a target is taken without waiting for
	// the other answers of its round.
	excellent = 1.2
	// lateFactor is the factor up to which a target is taken by a request that is
	// late already: on a slower one it would hold a slot for as long as several
	// requests that could still be in time.
	lateFactor = 2.0
	// guess is the share of the objective that work is taken to need before any
	// request of a kind was measured.
	guess = 0.4
	// soonest is the share of the objective that work needs at most at usual speed;
	// with more, the objective could hardly ever be met.
	soonest = 0.6
	// workMemory is the weight of the newest request in the time of work of a kind.
	workMemory = 0.1
	// priorityStep is the advantage in waiting of one rank over the next.
	priorityStep = 200 * time.Millisecond
	// aging is the wait after which the rank counts no more, so that the less urgent
	// are not starved.
	aging = time.Second
	// rateWindow is the time over which starts are counted to foresee the wait.
	rateWindow = time.Second
	// foreseen is the least number of waiting requests from which the wait is
	// foreseen by the rate of starts.
	foreseen = 12
	// returnLeast bounds Refusal.Return from below.
	returnLeast = 50 * time.Millisecond
	// targetlessReturn is Refusal.Return without targets: about the time in which
	// news of targets arrive.
	targetlessReturn = 300 * time.Millisecond
)

// Placer places the requests of one service. It is not safe for concurrent use.
type Placer struct {
	// Zone is the availability zone of the instance.
	Zone string
	// Random returns a number from 0 up to 1.
	Random func() float64
	// AllowProbes grants up to n probes and returns how many.
	AllowProbes func(n int, now time.Time) int

	// CanSearch reports whether an instance of another zone can be asked for room
	// there. Nil is never: the targets are asked themselves.
	CanSearch func(zone string, now time.Time) bool

	targets map[string]*state
	// searches holds when the search for room in each other zone began that is
	// under way.
	searches map[string]time.Time
	// order holds the identifiers of targets, sorted.
	order   []string
	waiting []*Ticket
	// work holds the time of work of each kind at usual speed.
	work map[string]time.Duration
	// round is when the last probes were sent.
	round time.Time
	// blind means that the last round was not allowed.
	blind bool
	// heard is when a target told its load last.
	heard time.Time
	// starts holds the times of the grants within rateWindow.
	starts []time.Time
}

// New returns a placer without targets.
func New(zone string, random func() float64, allow func(n int, now time.Time) int) *Placer {
	return &Placer{
		Zone: zone, Random: random, AllowProbes: allow,
		targets: map[string]*state{}, searches: map[string]time.Time{}, work: map[string]time.Duration{},
	}
}

// SetTargets replaces the targets that may get new requests. What is known of
// those that stay is kept.
func (p *Placer) SetTargets(targets []Target) {
	next := make(map[string]*state, len(targets))
	p.order = p.order[:0]
	usual := p.usual()
	for _, t := range targets {
		s := p.targets[t.ID]
		if s == nil {
			s = newState(t, usual)
		}
		if !s.tells {
			s.Slots = max(t.Slots, 1)
		}
		s.Zone, s.Address = t.Zone, t.Address
		if s.WarmupEnd.IsZero() || t.WarmupEnd.Before(s.WarmupEnd) {
			s.WarmupEnd = t.WarmupEnd
		}
		next[t.ID] = s
		p.order = append(p.order, t.ID)
	}
	slices.Sort(p.order)
	p.targets = next
}

// usual returns the mean speed of the targets, from which that of a new one starts:
// speeds are relative to each other, not to a fixed measure.
func (p *Placer) usual() float64 {
	sum := 0.0
	for _, s := range p.targets {
		sum += s.own
	}
	if sum == 0 {
		return 1
	}
	return sum / float64(len(p.targets))
}

// Submit adds a request; Step decides on it.
func (p *Placer) Submit(t *Ticket) { p.waiting = append(p.waiting, t) }

// Withdraw takes a waiting request out, such as one whose client has left.
func (p *Placer) Withdraw(t *Ticket) {
	p.waiting = slices.DeleteFunc(p.waiting, func(o *Ticket) bool { return o == t })
}

// Waiting returns the number of waiting requests.
func (p *Placer) Waiting() int { return len(p.waiting) }

// Report takes in the load that a target told in answer to what was sent at asked.
func (p *Placer) Report(id string, l Load, asked, now time.Time) {
	if s := p.targets[id]; s != nil {
		s.report(l, asked, now)
		p.heard = now
		s.silent, s.probe = 0, time.Time{}
	}
}

// AnsweredWithoutLoad takes in that a target has answered a probe without telling its load.
func (p *Placer) AnsweredWithoutLoad(id string) {
	if s := p.targets[id]; s != nil {
		s.mute, s.silent, s.probe = true, 0, time.Time{}
	}
}

// ProbeFailed takes in that a probe got no answer, or one of a target that is ill.
func (p *Placer) ProbeFailed(id string, now time.Time) {
	s := p.targets[id]
	if s == nil {
		return
	}
	s.probe = time.Time{}
	if s.silent++; s.silent >= silentProbes {
		s.shun(now)
	}
}

// ReportSlow takes in that a request takes much longer at a target than expected.
func (p *Placer) ReportSlow(id string, now time.Time) {
	if s := p.targets[id]; s != nil {
		s.judge(true, now)
	}
}

// End takes in the end of a granted request.
func (p *Placer) End(id string, t *Ticket, e Ending, now time.Time) {
	s := p.targets[id]
	if s == nil {
		return
	}
	began, known := s.end(t)
	switch e {
	case Canceled:
	case Served:
		s.judge(false, now)
		if known {
			p.learn(s, t, now.Sub(began))
		}
	default:
		s.judge(true, now)
	}
}

// learn adjusts the time of work of the kind and the own speed of the target.
func (p *Placer) learn(s *state, t *Ticket, took time.Duration) {
	if t.factor == 0 {
		return
	}
	usual := float64(took) / t.factor
	before, known := p.work[t.Kind]
	if !known {
		p.work[t.Kind] = time.Duration(usual)
		return
	}
	p.work[t.Kind] = before + time.Duration(workMemory*(usual-float64(before)))
	if before > 0 {
		s.learn(usual / float64(before))
	}
}

// need returns the time of work of a request at usual speed.
func (p *Placer) need(t *Ticket) time.Duration {
	if w, known := p.work[t.Kind]; known {
		return w
	}
	return time.Duration(guess * float64(t.LatencyObjective))
}

// soonest is the time in which a request can end at best. While targets are
// overloaded, work that was measured is longer than that, and says nothing on
// what cannot be served.
func (p *Placer) soonest(t *Ticket) time.Duration {
	return min(p.need(t), time.Duration(soonest*float64(t.LatencyObjective)))
}

// latest is the last moment at which a start at usual speed meets the objective.
func (p *Placer) latest(t *Ticket) time.Time { return t.ObjectiveTime.Add(-p.need(t)) }
