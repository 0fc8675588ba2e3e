package modeler

import (
	"fmt"
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// Way is one way to place requests.
type Way struct {
	Name string
	// Play plays a load with a seed.
	Play func(l Workload, seed int64) Result
}

// Strategies are the ways that are compared.
var Strategies = []Way{
	{"fresh reports", func(l Workload, seed int64) Result { return playPlacer(l, seed, options{probes: true, search: true}) }},
	{"each probes abroad", func(l Workload, seed int64) Result { return playPlacer(l, seed, options{probes: true}) }},
	{"old reports", func(l Workload, seed int64) Result { return playPlacer(l, seed, options{}) }},
	{"two choices", playTwo},
	{"true state", playOracle},
}

// epoch is the start of virtual time for parts that take a time.Time.
var epoch = time.Unix(1_000_000, 0)

// entry is one entry instance with a placer.
type entry struct {
	world   *world
	zone    int
	placer  *placer.Placer
	tickets map[*placer.Ticket]func(g *placer.Grant)
	wake    time.Duration
	// seek looks for room in another zone.
	seek func(zone string)
}

// options vary the product's own decisions.
type options struct {
	// probes lets entries ask targets, search ask entries of other zones.
	probes, search bool
}

// playPlacer places by the product's own decisions.
func playPlacer(l Workload, seed int64, o options) Result {
	w := newWorld(l, seed)
	var entries []*entry
	for i := range l.Entries {
		e := &entry{world: w, zone: i % l.Zones, tickets: map[*placer.Ticket]func(g *placer.Grant){}}
		e.placer = placer.New(zoneName(e.zone), w.random.Float64, func(n int, _ time.Time) int {
			if !o.probes {
				return 0
			}
			return n
		})
		e.placer.SetTargets(w.listed())
		entries = append(entries, e)
	}
	if o.search {
		for _, e := range entries {
			e.scouted(entries)
		}
	}
	w.arrive(func(i int, k Kind, work time.Duration) { entries[i].take(k, work) })
	w.run()
	return w.result
}

func (w *world) listed() []placer.Target {
	var all []placer.Target
	for _, t := range w.targets {
		all = append(all, placer.Target{
			ID: fmt.Sprintf("%04d", t.index), Zone: zoneName(t.zone), Slots: w.load.Slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(t.index >> 8), byte(t.index)}), 80),
		})
	}
	return all
}

func (e *entry) time() time.Time { return epoch.Add(e.world.Now) }

// take places a request.
func (e *entry) take(k Kind, work time.Duration) {
	w, came := e.world, e.world.Now
	t := &placer.Ticket{
		Kind: k.Name, Priority: k.Priority, NonIdempotent: k.Careful, Arrived: e.time(),
		ObjectiveTime: e.time().Add(k.Objective), Deadline: e.time().Add(k.Timeout), LatencyObjective: k.Objective,
	}
	e.tickets[t] = func(g *placer.Grant) {
		if g == nil {
			w.result.Refused++
			return
		}
		w.result.Wait += w.Now - came
		if g.Remote {
			w.result.Abroad++
		}
		target := w.target(g.Target.ID)
		way := w.delay(e.zone, target)
		w.After(way, func() {
			w.serve(target, work, func() {
				w.After(way, func() {
					w.finish(k, came)
					e.placer.End(g.Target.ID, t, placer.Served, e.time())
					e.step()
				})
			})
		})
	}
	e.placer.Submit(t)
	e.step()
}

func (w *world) target(id string) *target {
	i := 0
	if _, err := fmt.Sscanf(id, "%d", &i); err != nil {
		panic(err)
	}
	return w.targets[i]
}

// step carries out what the placer decides.
func (e *entry) step() {
	w := e.world
	a := e.placer.Step(e.time())
	for i := range a.Grants {
		e.decide(a.Grants[i].Ticket, &a.Grants[i])
	}
	for i := range a.Rejections {
		e.decide(a.Rejections[i].Ticket, nil)
	}
	for _, t := range a.Probes {
		e.ask(t, e.step)
	}
	for _, z := range a.SearchZones {
		e.seek(z)
	}
	if due := a.NextStep.Sub(epoch); !a.NextStep.IsZero() && due != e.wake {
		e.wake = due
		w.After(due-w.Now, func() {
			if e.wake == due {
				e.step()
			}
		})
	}
}

func (e *entry) decide(t *placer.Ticket, g *placer.Grant) {
	take := e.tickets[t]
	delete(e.tickets, t)
	take(g)
}

// ask asks a target for its load, and then goes on.
func (e *entry) ask(t placer.Target, then func()) {
	w, asked := e.world, e.time()
	w.result.Probes++
	target := w.target(t.ID)
	way := w.delay(e.zone, target)
	w.After(way, func() {
		l := placer.Load{Running: target.running, Waiting: len(target.queue), Slots: w.load.Slots, Slowdown: w.pace(target)}
		w.After(way, func() {
			e.placer.Report(t.ID, l, asked, e.time())
			then()
		})
	})
}

// playTwo sends each request at once to the less busy of two random targets of
// the zone, by the entry's own counts: the common way without reports.
func playTwo(l Workload, seed int64) Result {
	w := newWorld(l, seed)
	own := make([]map[int]int, l.Entries)
	for i := range own {
		own[i] = map[int]int{}
	}
	w.arrive(func(i int, k Kind, work time.Duration) {
		came := w.Now
		var near []*target
		for _, t := range w.targets {
			if t.zone == i%l.Zones {
				near = append(near, t)
			}
		}
		t := near[w.random.Intn(len(near))]
		if o := near[w.random.Intn(len(near))]; own[i][o.index] < own[i][t.index] {
			t = o
		}
		own[i][t.index]++
		way := w.delay(i%l.Zones, t)
		w.After(way, func() {
			w.serve(t, work, func() {
				w.After(way, func() { own[i][t.index]--; w.finish(k, came) })
			})
		})
	})
	w.run()
	return w.result
}

// waiting is a request that waits for a target of the true state.
type waiting struct {
	kind Kind
	came time.Duration
	work time.Duration
}

// lookEvery is the time between two looks at the true state while requests wait.
const lookEvery = time.Millisecond

// playOracle places from one queue with the true state of all targets at hand and
// no delays: what no system can reach.
func playOracle(l Workload, seed int64) Result {
	w := newWorld(l, seed)
	var queue []waiting
	var look func()
	looking := false
	look = func() {
		looking = false
		kept := queue[:0]
		for _, q := range queue {
			t, factor := w.quickest()
			needs := time.Duration(factor * float64(q.kind.Work))
			late := w.Now > q.came+q.kind.Objective-q.kind.Work
			switch {
			case w.Now+q.kind.Work > q.came+q.kind.Timeout:
				w.result.Refused++
			case t == nil, !late && w.Now+needs > q.came+q.kind.Objective, late && factor > 2:
				kept = append(kept, q)
			default:
				w.result.Wait += w.Now - q.came
				w.serve(t, q.work, func() { w.finish(q.kind, q.came) })
			}
		}
		queue = kept
		if len(queue) > 0 && !looking {
			looking = true
			w.After(lookEvery, look)
		}
	}
	w.arrive(func(_ int, k Kind, work time.Duration) {
		queue = append(queue, waiting{kind: k, came: w.Now, work: work})
		if !looking {
			look()
		}
	})
	w.run()
	return w.result
}

// quickest returns the free target at which work takes least now.
func (w *world) quickest() (*target, float64) {
	var best *target
	least := 0.0
	for _, t := range w.targets {
		if t.running >= w.load.Slots {
			continue
		}
		f := w.pace(t)
		if float64(t.running+1) > w.load.Knee*float64(w.load.Slots) {
			f *= w.load.KneeFactor
		}
		if best == nil || f < least {
			best, least = t, f
		}
	}
	return best, least
}
