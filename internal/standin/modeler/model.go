package modeler

import (
	"math"
	"math/rand"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/scheduler"
)

// Kind is one kind of request.
type Kind struct {
	Name string
	// Share is the share of this kind in all requests, between 0 and 1.
	Share float64
	// Work is the median processing time on a target that is not slowed down.
	Work time.Duration
	// Objective is the latency objective.
	Objective     time.Duration
	Timeout       time.Duration
	Priority      int
	NonIdempotent bool
}

// Workload describes a simulated service and the requests that arrive at it.
type Workload struct {
	Name      string
	Zones     int
	Instances int
	Targets   int
	// Slots is the number of requests that one target runs at the same time.
	Slots int
	Kinds []Kind
	// Rate is the number of requests per second. It is multiplied by BurstFactor
	// between BurstStart and BurstEnd.
	Rate                 float64
	BurstFactor          float64
	BurstStart, BurstEnd time.Duration
	// Skew is the share of the requests that are moved to an instance of the first
	// zone. The other requests are spread evenly over all instances.
	Skew float64
	// Spread is the standard deviation of the natural logarithm of the work of a
	// request.
	Spread float64
	// SlowShare is the share of the time in which a target is slowed down by its
	// neighbours. Its work then takes Slowdown times as long. Whether a target is slow
	// is drawn again after each SlowInterval.
	SlowShare, Slowdown float64
	SlowInterval        time.Duration
	// Knee is the share of busy slots above which work takes KneeSlowdown times as
	// long.
	Knee, KneeSlowdown float64
	// ShedShare is the share of its requests that a target sheds although it has room. The
	// client of a shed request returns once, when the strategy says, over ClientDelay each
	// way.
	ShedShare   float64
	ClientDelay time.Duration
	// LocalDelay and RemoteDelay are the one-way delays within a zone and between zones.
	LocalDelay, RemoteDelay time.Duration
	// Duration is the virtual time in which requests arrive.
	Duration time.Duration
}

// Result holds the totals of one simulation run.
type Result struct {
	// Requests counts all requests. WithinObjective counts requests that met their
	// objective, PastObjective requests that were answered later but within their
	// timeout, Failed requests that were answered after their timeout.
	Requests, WithinObjective, PastObjective, Rejected, Failed int
	// Probes counts load probes, Remote requests that were sent to another zone.
	Probes, Remote int
	// Wait is the sum of the times from the arrival of a request until it was assigned
	// to a target.
	Wait time.Duration
}

// ObjectiveShare returns the share of the requests that met their objective.
func (r Result) ObjectiveShare() float64 {
	return float64(r.WithinObjective) / float64(max(r.Requests, 1))
}

// ServedShare returns the share of the requests that were answered within their
// timeout.
func (r Result) ServedShare() float64 {
	return float64(r.WithinObjective+r.PastObjective) / float64(max(r.Requests, 1))
}

// world is the state of one simulation run.
type world struct {
	scheduler.Clock
	workload Workload
	random   *rand.Rand
	targets  []*target
	result   Result
}

// target is a simulated target. It queues the requests that exceed its slots.
type target struct {
	index, zone int
	running     int
	queue       []func()
	// salt makes the slow phases of the targets differ.
	salt uint64
}

func newWorld(l Workload, seed int64) *world {
	w := &world{workload: l, random: rand.New(rand.NewSource(seed))}
	for i := range l.Targets {
		w.targets = append(w.targets, &target{index: i, zone: i % l.Zones, salt: w.random.Uint64()})
	}
	return w
}

func (w *world) run() {
	for w.Step(math.MaxInt64) {
	}
}

// slowdown returns the factor by which the neighbours of a target extend its work at
// this time.
func (w *world) slowdown(t *target) float64 {
	step := uint64(w.Now / w.workload.SlowInterval)
	// A hash of salt and step gives the same result to all callers within a step. The
	// factors are the increment and the first multiplier of SplitMix64.
	x := (t.salt ^ step*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x ^= x >> 29
	if float64(x>>11)/(1<<53) < w.workload.SlowShare {
		return w.workload.Slowdown
	}
	return 1
}

// delay returns the one-way delay between a zone and a target.
func (w *world) delay(zone int, t *target) time.Duration {
	if zone == t.zone {
		return w.workload.LocalDelay
	}
	return w.workload.RemoteDelay
}

// serve runs a request at a target, as soon as the target has a free slot, and calls
// done at the end.
func (w *world) serve(t *target, work time.Duration, done func()) {
	if t.running >= w.workload.Slots {
		t.queue = append(t.queue, func() { w.serve(t, work, done) })
		return
	}
	t.running++
	slowdown := w.slowdown(t)
	if float64(t.running) > w.workload.Knee*float64(w.workload.Slots) {
		slowdown *= w.workload.KneeSlowdown
	}
	w.After(time.Duration(float64(work)*slowdown), func() {
		t.running--
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			next()
		}
		done()
	})
}

// drawRequest draws the kind and the work of one request.
func (w *world) drawRequest() (Kind, time.Duration) {
	x := w.random.Float64()
	k := w.workload.Kinds[0]
	for _, k = range w.workload.Kinds {
		if x -= k.Share; x < 0 {
			break
		}
	}
	return k, time.Duration(float64(k.Work) * math.Exp(w.workload.Spread*w.random.NormFloat64()))
}

// scheduleArrival schedules the next arrival, which schedules its successor, until the
// end of the workload. It calls place with the index of the receiving instance.
func (w *world) scheduleArrival(place func(instance int, k Kind, work time.Duration)) {
	rate := w.workload.Rate
	if w.Now >= w.workload.BurstStart && w.Now < w.workload.BurstEnd {
		rate *= w.workload.BurstFactor
	}
	w.After(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.Now >= w.workload.Duration {
			return
		}
		index := w.random.Intn(w.workload.Instances)
		if w.workload.Skew > 0 && w.random.Float64() < w.workload.Skew {
			index -= index % w.workload.Zones
		}
		k, work := w.drawRequest()
		w.result.Requests++
		place(index, k, work)
		w.scheduleArrival(place)
	})
}

// finish counts a request that has been answered now.
func (w *world) finish(k Kind, arrived time.Duration) {
	switch took := w.Now - arrived; {
	case took <= k.Objective:
		w.result.WithinObjective++
	case took <= k.Timeout:
		w.result.PastObjective++
	default:
		w.result.Failed++
	}
}
