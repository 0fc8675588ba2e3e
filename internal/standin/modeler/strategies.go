package modeler

import (
	"fmt"
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// Strategy is a method to place requests on targets.
type Strategy struct {
	Name string
	// Simulate runs a workload with a seed.
	Simulate func(l Workload, seed int64) Result
}

// Strategies holds the strategies that are compared.
var Strategies = []Strategy{
	{"fresh reports", func(l Workload, seed int64) Result {
		return simulatePlacer(l, seed, options{probes: true, search: true})
	}},
	{"remote zones at once", func(l Workload, seed int64) Result {
		return simulatePlacer(l, seed, options{probes: true, search: true, noLocalWait: true})
	}},
	{"late returns", func(l Workload, seed int64) Result {
		return simulatePlacer(l, seed, options{probes: true, search: true, lateReturn: 150 * time.Millisecond})
	}},
	{"each probes abroad", func(l Workload, seed int64) Result { return simulatePlacer(l, seed, options{probes: true}) }},
	{"old reports", func(l Workload, seed int64) Result { return simulatePlacer(l, seed, options{}) }},
	{"two choices", simulateTwoChoices},
	{"true state", simulateTrueState},
}

// epoch is the start of the virtual time as a time.Time.
var epoch = time.Unix(1_000_000, 0)

// instance is a simulated instance that receives requests and has its own placer.
type instance struct {
	world  *world
	zone   int
	placer *placer.Placer
	// callbacks holds a function per undecided request. It is called with nil if the
	// request is rejected.
	callbacks map[*placer.Ticket]func(g *placer.Grant)
	// nextStep is the virtual time of the next scheduled step.
	nextStep time.Duration
	// lateReturn is that of the options.
	lateReturn time.Duration
	// search searches for free slots in another zone.
	search func(zone string)
}

// options selects which mechanisms of the placer are used.
type options struct {
	// probes lets instances probe targets, search lets them ask instances of other
	// zones for targets.
	probes, search bool
	// noLocalWait covers remote zones without waiting for local targets first.
	noLocalWait bool
	// lateReturn replaces the time after which the client of a shed request returns, if
	// it is set.
	lateReturn time.Duration
}

// simulatePlacer places requests with the placer of the balancer.
func simulatePlacer(l Workload, seed int64, o options) Result {
	w := newWorld(l, seed)
	var instances []*instance
	for i := range l.Instances {
		n := &instance{world: w, zone: i % l.Zones, lateReturn: o.lateReturn, callbacks: map[*placer.Ticket]func(g *placer.Grant){}}
		n.placer = placer.New(zoneName(n.zone), w.random.Float64, func(n int, _ time.Time) int {
			if !o.probes {
				return 0
			}
			return n
		})
		if o.noLocalWait {
			n.placer.LocalWait = 0
		}
		n.placer.SetTargets(w.listTargets())
		instances = append(instances, n)
	}
	if o.search {
		for _, n := range instances {
			n.enableSearch(instances)
		}
	}
	w.scheduleArrival(func(i int, k Kind, work time.Duration) {
		instances[i].place(clientRequest{kind: k, work: work, arrived: w.Now})
	})
	w.run()
	return w.result
}

func (w *world) listTargets() []placer.Target {
	var all []placer.Target
	for _, t := range w.targets {
		all = append(all, placer.Target{
			ID: fmt.Sprintf("%04d", t.index), Zone: zoneName(t.zone), Slots: w.workload.Slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(t.index >> 8), byte(t.index)}), 80),
		})
	}
	return all
}

func (n *instance) time() time.Time { return epoch.Add(n.world.Now) }

// clientRequest is a request as its client sees it.
type clientRequest struct {
	kind Kind
	work time.Duration
	// arrived is when the client's first attempt arrived.
	arrived time.Duration
	// returned is set in the second attempt of the client.
	returned bool
}

// place submits a request to the placer and sends it once the placer has granted a
// target.
func (n *instance) place(q clientRequest) {
	w, k := n.world, q.kind
	t := &placer.Ticket{
		Kind: k.Name, Priority: k.Priority, NonIdempotent: k.NonIdempotent, Arrived: n.time(),
		ObjectiveTime: n.time().Add(k.Objective), Deadline: n.time().Add(k.Timeout), LatencyObjective: k.Objective,
	}
	submitted := w.Now
	n.callbacks[t] = func(g *placer.Grant) {
		if g == nil {
			w.result.Rejected++
			return
		}
		w.result.Wait += w.Now - submitted
		if g.Remote {
			w.result.Remote++
		}
		target := w.target(g.Target.ID)
		delay := w.delay(n.zone, target)
		end := func(e placer.Ending) {
			n.placer.End(g.Target.ID, t, e, n.time())
			n.step()
		}
		w.After(delay, func() {
			if w.workload.ShedShare > 0 && w.random.Float64() < w.workload.ShedShare {
				w.After(delay, func() {
					end(placer.Shed)
					n.sendBack(q)
				})
				return
			}
			w.serve(target, q.work, func() {
				w.After(delay, func() {
					w.finish(k, q.arrived)
					end(placer.Served)
				})
			})
		})
	}
	n.placer.Submit(t)
	n.step()
}

// sendBack lets the client of a shed request return once.
func (n *instance) sendBack(q clientRequest) {
	if q.returned {
		n.world.result.Rejected++
		return
	}
	q.returned = true
	wait := n.lateReturn
	if wait == 0 {
		wait = n.placer.RetryAfterShed(n.time())
	}
	n.world.After(2*n.world.workload.ClientDelay+wait, func() { n.place(q) })
}

func (w *world) target(id string) *target {
	i := 0
	if _, err := fmt.Sscanf(id, "%d", &i); err != nil {
		panic(err)
	}
	return w.targets[i]
}

// step executes the decisions of the placer and schedules the next step.
func (n *instance) step() {
	w := n.world
	a := n.placer.Step(n.time())
	for i := range a.Grants {
		n.complete(a.Grants[i].Ticket, &a.Grants[i])
	}
	for i := range a.Rejections {
		n.complete(a.Rejections[i].Ticket, nil)
	}
	for _, t := range a.Probes {
		n.probe(t, n.step)
	}
	for _, z := range a.SearchZones {
		n.search(z)
	}
	if due := a.NextStep.Sub(epoch); !a.NextStep.IsZero() && due != n.nextStep {
		n.nextStep = due
		w.After(due-w.Now, func() {
			if n.nextStep == due {
				n.step()
			}
		})
	}
}

func (n *instance) complete(t *placer.Ticket, g *placer.Grant) {
	callback := n.callbacks[t]
	delete(n.callbacks, t)
	callback(g)
}

// probe requests the load of a target, reports it to the placer and calls done.
func (n *instance) probe(t placer.Target, done func()) {
	w, sent := n.world, n.time()
	w.result.Probes++
	target := w.target(t.ID)
	delay := w.delay(n.zone, target)
	w.After(delay, func() {
		l := placer.Load{Running: target.running, Waiting: len(target.queue), Slots: w.workload.Slots, Slowdown: w.slowdown(target)}
		w.After(delay, func() {
			n.placer.Report(t.ID, l, sent, n.time())
			done()
		})
	})
}

// simulateTwoChoices sends each request immediately to one of two random targets of the
// zone, the one with fewer requests in flight from this instance. This is the common
// strategy without load reports.
func simulateTwoChoices(l Workload, seed int64) Result {
	w := newWorld(l, seed)
	inFlight := make([]map[int]int, l.Instances)
	for i := range inFlight {
		inFlight[i] = map[int]int{}
	}
	w.scheduleArrival(func(i int, k Kind, work time.Duration) {
		arrived := w.Now
		var local []*target
		for _, t := range w.targets {
			if t.zone == i%l.Zones {
				local = append(local, t)
			}
		}
		t := local[w.random.Intn(len(local))]
		if other := local[w.random.Intn(len(local))]; inFlight[i][other.index] < inFlight[i][t.index] {
			t = other
		}
		inFlight[i][t.index]++
		delay := w.delay(i%l.Zones, t)
		w.After(delay, func() {
			w.serve(t, work, func() {
				w.After(delay, func() { inFlight[i][t.index]--; w.finish(k, arrived) })
			})
		})
	})
	w.run()
	return w.result
}

// waitingRequest is a request in the queue of simulateTrueState.
type waitingRequest struct {
	kind    Kind
	arrived time.Duration
	work    time.Duration
}

// trueStateInterval is the time between two attempts to place waiting requests.
const trueStateInterval = time.Millisecond

// simulateTrueState places requests from a single queue, with the current state of all
// targets and without network delays. No real system can reach its results.
func simulateTrueState(l Workload, seed int64) Result {
	w := newWorld(l, seed)
	var queue []waitingRequest
	var placeWaiting func()
	scheduled := false
	placeWaiting = func() {
		scheduled = false
		kept := queue[:0]
		for _, q := range queue {
			t, slowdown := w.fastestTarget()
			duration := time.Duration(slowdown * float64(q.kind.Work))
			missesObjective := w.Now > q.arrived+q.kind.Objective-q.kind.Work
			// A request waits if no slot is free, if the target would miss an objective
			// that can still be met, or if the objective can't be met any more and work on
			// the target takes more than twice as long as usual. The placer has the same
			// bound, maxSlowdownPastObjective: on a slower target the request would hold
			// a slot for as long as several requests that can still meet their objective.
			switch {
			case w.Now+q.kind.Work > q.arrived+q.kind.Timeout:
				w.result.Rejected++
			case t == nil, !missesObjective && w.Now+duration > q.arrived+q.kind.Objective, missesObjective && slowdown > 2:
				kept = append(kept, q)
			default:
				w.result.Wait += w.Now - q.arrived
				w.serve(t, q.work, func() { w.finish(q.kind, q.arrived) })
			}
		}
		queue = kept
		if len(queue) > 0 && !scheduled {
			scheduled = true
			w.After(trueStateInterval, placeWaiting)
		}
	}
	w.scheduleArrival(func(_ int, k Kind, work time.Duration) {
		queue = append(queue, waitingRequest{kind: k, arrived: w.Now, work: work})
		if !scheduled {
			placeWaiting()
		}
	})
	w.run()
	return w.result
}

// fastestTarget returns the target with a free slot and the lowest slowdown, and this
// slowdown. It returns nil if no target has a free slot.
func (w *world) fastestTarget() (*target, float64) {
	var best *target
	lowest := 0.0
	for _, t := range w.targets {
		if t.running >= w.workload.Slots {
			continue
		}
		slowdown := w.slowdown(t)
		if float64(t.running+1) > w.workload.Knee*float64(w.workload.Slots) {
			slowdown *= w.workload.KneeSlowdown
		}
		if best == nil || slowdown < lowest {
			best, lowest = t, slowdown
		}
	}
	return best, lowest
}
