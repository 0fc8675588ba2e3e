package dispatcher

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/chooser"
	"oriolecourse.example/oriolecourse/internal/request/queuer"
	"oriolecourse.example/oriolecourse/internal/request/retrier"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Target is a usable target of the service. A configuration does not contain
// targets that drain or are gone.
type Target struct {
	Address netip.AddrPort
	Zone    string
	// Start identifies the run of the target's process; observations of another run
	// are dropped.
	Start string
	// Since is when this run was first seen.
	Since time.Time
	// Warming is true if the target reports that it is still starting.
	Warming bool
	// Owned is true if this instance is an owner of the target; any other instance
	// borrows the slots that the target reports to be free.
	Owned bool
	// Share is an owner's share of the target's capacity, 0 to 1; 0 means all of
	// it.
	Share float64
}

// Dispatcher grants, queues or rejects the requests of one service. Its methods
// may be called concurrently.
type Dispatcher struct {
	// Place and Service identify the service.
	Place, Service string
	// Zone is the availability zone of the instance. It is set before use.
	Zone string
	// Random returns random bits. It is set before use.
	Random func() uint64
	// Tuning holds the score's constants. It is set before use.
	Tuning chooser.Tuning
	// Baseline replaces the choice of targets if it is not nil. It is set before
	// use.
	Baseline Baseline

	// origin is the time at which the targets' ticks are 0. The first configuration
	// sets it.
	origin        time.Time
	configuration atomic.Pointer[configuration]
	latencies     atomic.Pointer[map[string]*chooser.LatencyEstimate]
	retrier       *retrier.Retrier
	recorder      recorder

	// waiting counts the queued tickets. It is written with mu held and read
	// without.
	waiting atomic.Int32
	// lastPoll is when a waiting request last polled for capacity, in nanoseconds
	// since origin.
	lastPoll atomic.Int64
	mu       sync.Mutex
	queue    queuer.Queue
}

// configuration holds the settings and targets of the service. It is not
// modified.
type configuration struct {
	policy *resolver.Policy
	set    *chooser.Set
}

// New returns a Dispatcher without targets.
func New(place, service string) *Dispatcher {
	d := &Dispatcher{
		Place: place, Service: service,
		Random: rand.Uint64, Tuning: chooser.DefaultTuning(), retrier: retrier.New(),
	}
	d.recorder.interval = recordInterval
	d.configuration.Store(&configuration{policy: &resolver.Policy{}})
	d.latencies.Store(&map[string]*chooser.LatencyEstimate{})
	return d
}

// Configure sets the service's settings and targets. It keeps the observations of
// a target whose address and start stay the same.
func (d *Dispatcher) Configure(p *resolver.Policy, targets []Target, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.origin.IsZero() {
		// The origin lies before the first request, so that ticks are positive.
		d.origin = now.Add(-time.Second)
	}
	known := d.knownTargets()
	candidates := make([]chooser.Candidate, 0, len(targets))
	for _, t := range targets {
		target := known[t.Address]
		if target == nil || target.Start != t.Start {
			target = chooser.NewTarget(t.Address, t.Start, d.origin, &d.Tuning)
		}
		candidates = append(candidates, chooser.Candidate{
			Target: target, Limit: queuer.OutstandingLimit(p, t.Owned, t.Share), Owned: t.Owned,
			Remote: d.Zone != "" && t.Zone != d.Zone, Since: t.Since, Warming: t.Warming,
		})
	}
	set := chooser.NewSet(candidates, p.Slots, p.Ramp, d.origin, &d.Tuning)
	d.configuration.Store(&configuration{policy: p, set: set})
	set.UpdateEjection()
	d.queue.Capacity = p.Queue
	d.serveQueueLocked(now)
}

func (d *Dispatcher) knownTargets() map[netip.AddrPort]*chooser.Target {
	known := map[netip.AddrPort]*chooser.Target{}
	if set := d.configuration.Load().set; set != nil {
		for i := range set.Candidates {
			known[set.Candidates[i].Target.Address] = set.Candidates[i].Target
		}
	}
	return known
}

// UpdateLoad takes a target's load report that did not come with a response to a
// leased request, such as one from a probe or a peer. at is the time of the
// report: when the target made it or, for a report in a response, when the
// response arrived.
func (d *Dispatcher) UpdateLoad(address netip.AddrPort, r chooser.Report, at time.Time) {
	d.forTarget(address, func(t *chooser.Target) { t.UpdateLoad(r, t.Outstanding(), at) })
	if d.waiting.Load() > 0 {
		d.ServeQueue(at)
	}
}

// AllowTrial lets an ejected target that has answered a probe take one trial
// request at once.
func (d *Dispatcher) AllowTrial(address netip.AddrPort, now time.Time) {
	d.forTarget(address, func(t *chooser.Target) { t.AllowTrial(now) })
}

// forTarget calls the function with the target at an address if the
// configuration contains it.
func (d *Dispatcher) forTarget(address netip.AddrPort, call func(*chooser.Target)) {
	set := d.configuration.Load().set
	if set == nil {
		return
	}
	for i := range set.Candidates {
		if t := set.Candidates[i].Target; t.Address == address {
			call(t)
		}
	}
}

// latencyEstimate returns the latency estimate of a kind and creates it if needed.
func (d *Dispatcher) latencyEstimate(kind string) *chooser.LatencyEstimate {
	if estimate := (*d.latencies.Load())[kind]; estimate != nil {
		return estimate
	}
	for {
		old := d.latencies.Load()
		if estimate := (*old)[kind]; estimate != nil {
			return estimate
		}
		updated := make(map[string]*chooser.LatencyEstimate, len(*old)+1)
		for name, estimate := range *old {
			updated[name] = estimate
		}
		updated[kind] = &chooser.LatencyEstimate{}
		if d.latencies.CompareAndSwap(old, &updated) {
			return updated[kind]
		}
	}
}

// HedgeDelay returns how long after the start of a request's first attempt a
// hedge may be asked for; ok is false when the kind has no hedges. The delay is
// longer than the policy's while so many responses take that long that hedging
// them all would use up the budget. A caller whose Hedge was denied asks again
// after HedgeRetryDelay.
func (d *Dispatcher) HedgeDelay(p *resolver.Policy) (delay time.Duration, ok bool) {
	if d.Baseline != nil || !retrier.CanHedge(p) {
		return 0, false
	}
	return max(p.HedgeDelay, d.latencyEstimate(p.Kind).Slow()), true
}

// hedgeRetriesPerDelay is how often per hedge delay a denied hedge is asked for
// again.
const hedgeRetriesPerDelay = 8

// HedgeRetryDelay returns the time after which a denied hedge may be asked for
// again. Capacity or budget may be available by then.
func HedgeRetryDelay(delay time.Duration) time.Duration {
	return max(time.Millisecond, delay/hedgeRetriesPerDelay)
}
