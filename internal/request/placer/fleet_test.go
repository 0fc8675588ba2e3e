package placer

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/budgeter"
	"oriolecourse.example/oriolecourse/internal/standin/scheduler"
)

// Delays and load of a target in the replay of a fleet.
const (
	replayDelay     = 300 * time.Microsecond
	replayProbe     = 6 * time.Millisecond
	replayNoise     = 150 * time.Millisecond
	replayProbeRate = 42
	replayQueue     = 4
)

// replayKind is a kind of request of a replay.
type replayKind struct {
	name                      string
	priority                  int
	work, objective, deadline time.Duration
	// timeout is the longest time for which an instance keeps a request.
	timeout       time.Duration
	nonIdempotent bool
	// rate returns the requests per second of the fleet.
	rate func(at time.Duration) float64
	// asked, inTime and served count requests, lost those that no queue took.
	asked, inTime, served, lost int
}

// share returns the share of the requests that met their objective.
func (k *replayKind) share() float64 { return float64(k.inTime) / float64(k.asked) }

// servedShare returns the share of the requests that were served before their deadline.
func (k *replayKind) servedShare() float64 { return float64(k.served) / float64(k.asked) }

// replay plays requests of many instances in one zone through their placers, in virtual
// time, against targets with two slots, a short queue and neighbours.
type replay struct {
	scheduler.Clock
	random    *rand.Rand
	instances []*replayInstance
	targets   map[string]*replayTarget
	kinds     []*replayKind
}

type replayInstance struct {
	*Placer
	fleet    *replay
	probes   budgeter.Probes
	next     time.Duration
	requests map[*Ticket]*replayRequest
}

// replayRequest is a request of a client, which may return after a rejection.
type replayRequest struct {
	kind    *replayKind
	work    time.Duration
	arrived time.Time
	returns int
}

type replayTarget struct {
	Target
	running int
	queue   []func()
	salt    uint64
}

func newReplay(instances, targets int, kinds ...*replayKind) *replay {
	f := &replay{random: rand.New(rand.NewSource(7)), targets: map[string]*replayTarget{}, kinds: kinds}
	var all []Target
	for k := range targets {
		t := Target{ID: fmt.Sprintf("a%03d", k), Zone: "a", Slots: 2}
		all = append(all, t)
		f.targets[t.ID] = &replayTarget{Target: t, salt: f.random.Uint64()}
	}
	for range instances {
		n := &replayInstance{fleet: f, requests: map[*Ticket]*replayRequest{}}
		n.Placer = New("a", f.random.Float64, func(want int, now time.Time) int {
			return n.probes.Take(want, replayProbeRate*float64(targets), instances, now)
		})
		n.probes.Take(0, replayProbeRate*float64(targets), instances, f.time())
		n.SetTargets(all)
		f.instances = append(f.instances, n)
	}
	return f
}

func (f *replay) time() time.Time { return time.Unix(1_000_000, 0).Add(f.Now) }

// run plays the arrivals of some time and returns once nothing runs any more.
func (f *replay) run(length time.Duration) {
	for _, k := range f.kinds {
		f.arrive(k, length)
	}
	for f.Step(math.MaxInt64) {
	}
}

func (f *replay) arrive(k *replayKind, until time.Duration) {
	f.After(time.Duration(f.random.ExpFloat64()/k.rate(f.Now)*float64(time.Second)), func() {
		if f.Now >= until {
			return
		}
		k.asked++
		work := time.Duration(float64(k.work) * math.Exp(0.3*f.random.NormFloat64()))
		f.submit(&replayRequest{kind: k, work: work, arrived: f.time()})
		f.arrive(k, until)
	})
}

// submit sends a request to an instance. Rejected requests return twice.
func (f *replay) submit(r *replayRequest) {
	n, now, k := f.instances[f.random.Intn(len(f.instances))], f.time(), r.kind
	t := &Ticket{
		Kind: k.name, Priority: k.priority, Arrived: now, ObjectiveTime: now.Add(k.objective),
		Deadline: now.Add(min(k.timeout, r.arrived.Add(k.deadline).Sub(now))), LatencyObjective: k.objective, Patience: r.arrived.Add(k.deadline).Sub(now), NonIdempotent: k.nonIdempotent,
	}
	n.requests[t] = r
	n.Submit(t)
	n.step()
}

// step carries out the decisions of an instance.
func (n *replayInstance) step() {
	f := n.fleet
	a := n.Step(f.time())
	for _, g := range a.Grants {
		f.After(replayDelay, func() { f.serve(n, f.targets[g.Target.ID], g.Ticket) })
	}
	for _, r := range a.Rejections {
		q := n.requests[r.Ticket]
		delete(n.requests, r.Ticket)
		left := q.arrived.Add(q.kind.deadline).Sub(f.time())
		if q.returns++; q.returns <= 2 {
			f.After(min(r.RetryAfter, left/3)+8*time.Millisecond, func() { f.submit(q) })
		}
	}
	for _, p := range a.Probes {
		f.probe(n, f.targets[p.ID])
	}
	if at := a.NextStep.Sub(time.Unix(1_000_000, 0)); !a.NextStep.IsZero() && (n.next <= f.Now || at < n.next) {
		n.next = at
		f.After(at-f.Now, func() {
			if n.next == f.Now {
				n.step()
			}
		})
	}
}

func (f *replay) probe(n *replayInstance, t *replayTarget) {
	asked := f.time()
	f.After(replayDelay+replayProbe, func() {
		l := t.load(f)
		f.After(replayDelay, func() {
			n.Report(t.ID, l, asked, f.time())
			n.step()
		})
	})
}

// load returns what the target reports.
func (t *replayTarget) load(f *replay) Load {
	return Load{Running: t.running, Waiting: len(t.queue), Slots: 2, Slowdown: t.slowdown(f.Now)}
}

// slowdown returns 5 in three of ten intervals, and else 1.
func (t *replayTarget) slowdown(now time.Duration) float64 {
	// The factors are the increment and the first multiplier of SplitMix64.
	x := (t.salt ^ uint64(now/replayNoise)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	if x ^= x >> 29; x%10 < 3 {
		return 5
	}
	return 1
}

// serve runs a request at a target once it has a free slot.
func (f *replay) serve(n *replayInstance, t *replayTarget, q *Ticket) {
	switch {
	case t.running >= 2 && len(t.queue) >= replayQueue:
		n.requests[q].kind.lost++
		f.After(q.Deadline.Sub(f.time()), func() { n.ended(t, q, nil) })
		return
	case t.running >= 2:
		t.queue = append(t.queue, func() { f.serve(n, t, q) })
		return
	}
	t.running++
	slowdown := t.slowdown(f.Now)
	if t.running > 1 {
		slowdown *= 1.7
	}
	f.After(time.Duration(slowdown*float64(n.requests[q].work)), func() {
		t.running--
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			next()
		}
		l := t.load(f)
		f.After(replayDelay, func() { n.ended(t, q, &l) })
	})
}

func (n *replayInstance) ended(t *replayTarget, q *Ticket, l *Load) {
	now, r := n.fleet.time(), n.requests[q]
	e := NoCompleteResponse
	if l != nil {
		e = Served
		if !now.After(r.arrived.Add(r.kind.objective)) {
			r.kind.inTime++
		}
		if !now.After(r.arrived.Add(r.kind.deadline)) {
			r.kind.served++
		}
	}
	n.End(t.ID, q, e, now)
	if l != nil {
		n.Report(t.ID, *l, now, now)
	}
	delete(n.requests, q)
	n.step()
}
