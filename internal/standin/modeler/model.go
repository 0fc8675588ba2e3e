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
	// Share is the part of all requests.
	Share     float64
	Work      time.Duration
	Objective time.Duration
	Timeout   time.Duration
	Priority  int
	Careful   bool
}

// Workload is what is played.
type Workload struct {
	Name    string
	Zones   int
	Entries int
	Targets int
	Slots   int
	Kinds   []Kind
	// Rate is the number of requests per second, Burst times as many between
	// BurstFrom and BurstTo.
	Rate               float64
	Burst              float64
	BurstFrom, BurstTo time.Duration
	// Skew is the part of the requests that come in the first zone, 0 for an equal part.
	Skew float64
	// Spread is the standard deviation of the logarithm of the work.
	Spread float64
	// SlowShare of the time a target takes SlowFactor times as long, in steps of
	// SlowEvery.
	SlowShare, SlowFactor float64
	SlowEvery             time.Duration
	// Knee is the share of busy slots from which work takes KneeFactor times as long.
	Knee, KneeFactor float64
	// Near and Far are the one-way delays within a zone and between zones.
	Near, Far time.Duration
	Length    time.Duration
}

// Result is what became of the requests of one play.
type Result struct {
	Requests, InObjective, Late, Refused, Failed int
	Probes, Abroad                               int
	// Wait is the sum of the times until requests started.
	Wait time.Duration
}

// Share returns the part of the requests that met their objective.
func (r Result) Share() float64 { return float64(r.InObjective) / float64(max(r.Requests, 1)) }

// Served returns the part of the requests that were answered.
func (r Result) Served() float64 {
	return float64(r.InObjective+r.Late) / float64(max(r.Requests, 1))
}

// world is one play.
type world struct {
	scheduler.Clock
	load    Workload
	random  *rand.Rand
	targets []*target
	result  Result
}

// target is one target; it takes requests beyond its slots into a queue.
type target struct {
	index, zone int
	running     int
	queue       []func()
	// salt makes the slow times of targets differ.
	salt uint64
}

func newWorld(l Workload, seed int64) *world {
	w := &world{load: l, random: rand.New(rand.NewSource(seed))}
	for i := range l.Targets {
		w.targets = append(w.targets, &target{index: i, zone: i % l.Zones, salt: w.random.Uint64()})
	}
	return w
}

func (w *world) run() {
	for w.Step(math.MaxInt64) {
	}
}

// pace is how much longer work takes at a target now.
func (w *world) pace(t *target) float64 {
	step := uint64(w.Now / w.load.SlowEvery)
	// Drawn anew in each step, the same for all who ask.
	x := (t.salt ^ step*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x ^= x >> 29
	if float64(x>>11)/(1<<53) < w.load.SlowShare {
		return w.load.SlowFactor
	}
	return 1
}

// delay is the one-way delay between a zone and a target.
func (w *world) delay(zone int, t *target) time.Duration {
	if zone == t.zone {
		return w.load.Near
	}
	return w.load.Far
}

// serve runs a request at a target once it has a slot.
func (w *world) serve(t *target, work time.Duration, done func()) {
	if t.running >= w.load.Slots {
		t.queue = append(t.queue, func() { w.serve(t, work, done) })
		return
	}
	t.running++
	factor := w.pace(t)
	if float64(t.running) > w.load.Knee*float64(w.load.Slots) {
		factor *= w.load.KneeFactor
	}
	w.After(time.Duration(float64(work)*factor), func() {
		t.running--
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			next()
		}
		done()
	})
}

// draw returns the kind and the work of one request.
func (w *world) draw() (Kind, time.Duration) {
	x := w.random.Float64()
	k := w.load.Kinds[0]
	for _, k = range w.load.Kinds {
		if x -= k.Share; x < 0 {
			break
		}
	}
	return k, time.Duration(float64(k.Work) * math.Exp(w.load.Spread*w.random.NormFloat64()))
}

// arrive lets requests come in until the end, each at an entry of its zone.
func (w *world) arrive(take func(entry int, k Kind, work time.Duration)) {
	rate := w.load.Rate
	if w.Now >= w.load.BurstFrom && w.Now < w.load.BurstTo {
		rate *= w.load.Burst
	}
	w.After(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.Now >= w.load.Length {
			return
		}
		entry := w.random.Intn(w.load.Entries)
		if w.load.Skew > 0 && w.random.Float64() < w.load.Skew {
			entry -= entry % w.load.Zones
		}
		k, work := w.draw()
		w.result.Requests++
		take(entry, k, work)
		w.arrive(take)
	})
}

// finish counts the end of a request that came at a time.
func (w *world) finish(k Kind, came time.Duration) {
	switch took := w.Now - came; {
	case took <= k.Objective:
		w.result.InObjective++
	case took <= k.Timeout:
		w.result.Late++
	default:
		w.result.Failed++
	}
}
