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

// Target is a usable target of the service. Targets that drain or are gone are
// left out of a configuration.
type Target struct {
	Address netip.AddrPort
	Zone    string
	// Start names the run of the target's process; what was learnt about another
	// run is dropped.
	Start string
	// Since is when this run was first seen.
	Since time.Time
	// Warming tells that the target says it is still starting.
	Warming bool
	// Owned tells that this instance is an owner of the target; any other
	// instance borrows the slots that the target reports to be free.
	Owned bool
	// Share is an owner's share of the target's room, 0 to 1; 0 means the whole.
	Share float64
}

// Dispatcher decides for one service. Its methods may be called concurrently.
type Dispatcher struct {
	// Place and Service name what the Dispatcher decides for.
	Place, Service string
	// Zone is the availability zone of the instance. It is set before use.
	Zone string
	// Random returns random bits. It is set before use.
	Random func() uint64
	// Tuning holds the score's constants. It is set before use.
	Tuning chooser.Tuning
	// Baseline replaces the choice of targets if it is set. It is set before use.
	Baseline Baseline

	// origin is where the ticks of the targets start; it is set once, by the
	// first configuration.
	origin time.Time
	view   atomic.Pointer[view]
	kinds  atomic.Pointer[map[string]*chooser.Normal]
	retry  *retrier.Retrier
	record recorder

	// waiting counts the queued tickets; it is written with mu held and read
	// without.
	waiting atomic.Int32
	// looked is the time in nanoseconds from origin to the last look for room of a
	// waiting request.
	looked atomic.Int64
	mu     sync.Mutex
	queue  queuer.Queue
}

// view is one configuration; it is not modified.
type view struct {
	policy *resolver.Policy
	set    *chooser.Set
}

// New returns a Dispatcher that has no targets yet.
func New(place, service string) *Dispatcher {
	d := &Dispatcher{
		Place: place, Service: service,
		Random: rand.Uint64, Tuning: chooser.DefaultTuning(), retry: retrier.New(),
	}
	d.record.every = recordEvery
	d.view.Store(&view{policy: &resolver.Policy{}})
	d.kinds.Store(&map[string]*chooser.Normal{})
	return d
}

// Configure sets the service's settings and targets. What was learnt about a
// target is kept while its address and start stay the same.
func (d *Dispatcher) Configure(p *resolver.Policy, targets []Target, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.origin.IsZero() {
		d.origin = now.Add(-time.Second)
	}
	known := d.known()
	candidates := make([]chooser.Candidate, 0, len(targets))
	for _, t := range targets {
		learnt := known[t.Address]
		if learnt == nil || learnt.Start != t.Start {
			learnt = chooser.NewTarget(t.Address, t.Start, d.origin, &d.Tuning)
		}
		candidates = append(candidates, chooser.Candidate{
			Target: learnt, Limit: queuer.OutstandingLimit(p, t.Owned, t.Share), Owned: t.Owned,
			Foreign: d.Zone != "" && t.Zone != d.Zone, Since: t.Since, Warming: t.Warming,
		})
	}
	set := chooser.NewSet(candidates, p.Slots, p.Ramp, d.origin, &d.Tuning)
	d.view.Store(&view{policy: p, set: set})
	set.Recount()
	d.queue.Capacity = p.Queue
	d.drain(now)
}

func (d *Dispatcher) known() map[netip.AddrPort]*chooser.Target {
	known := map[netip.AddrPort]*chooser.Target{}
	if set := d.view.Load().set; set != nil {
		for i := range set.Candidates {
			known[set.Candidates[i].Target.Address] = set.Candidates[i].Target
		}
	}
	return known
}

// UpdateLoad learns a target's load from elsewhere than an answer, as from a probe or
// a peer. at is when the target stated it.
func (d *Dispatcher) UpdateLoad(address netip.AddrPort, r chooser.Report, at time.Time) {
	d.each(address, func(t *chooser.Target) { t.Hear(r, t.Outstanding(), at) })
	if d.waiting.Load() > 0 {
		d.ServeQueue(at)
	}
}

// AllowTrial ends the wait of an ejected target that has answered a probe.
func (d *Dispatcher) AllowTrial(address netip.AddrPort, now time.Time) {
	d.each(address, func(t *chooser.Target) { t.Try(now) })
}

// each calls the function with the target at an address, if it is known.
func (d *Dispatcher) each(address netip.AddrPort, call func(*chooser.Target)) {
	set := d.view.Load().set
	if set == nil {
		return
	}
	for i := range set.Candidates {
		if t := set.Candidates[i].Target; t.Address == address {
			call(t)
		}
	}
}

// normal returns what is learnt about the latency of a kind.
func (d *Dispatcher) normal(kind string) *chooser.Normal {
	if n := (*d.kinds.Load())[kind]; n != nil {
		return n
	}
	for {
		old := d.kinds.Load()
		if n := (*old)[kind]; n != nil {
			return n
		}
		grown := make(map[string]*chooser.Normal, len(*old)+1)
		for name, n := range *old {
			grown[name] = n
		}
		grown[kind] = &chooser.Normal{}
		if d.kinds.CompareAndSwap(old, &grown) {
			return grown[kind]
		}
	}
}

// HedgeDelay returns how long after a first try's start a second one may be
// asked for; ok is false when the kind has none. It is longer than the policy's
// while so many answers take that long that they would use up the budget. A
// caller whose Hedge was refused asks again after HedgePause.
func (d *Dispatcher) HedgeDelay(p *resolver.Policy) (delay time.Duration, ok bool) {
	if d.Baseline != nil || !retrier.CanHedge(p) {
		return 0, false
	}
	return max(p.Hedge, d.normal(p.Kind).Slow()), true
}

// hedgePauses is the number of times in a delay that a second try is asked for.
const hedgePauses = 8

// HedgeRetryDelay returns when a second try that was refused may be asked for again,
// since room or budget may have come back.
func HedgeRetryDelay(delay time.Duration) time.Duration {
	return max(time.Millisecond, delay/hedgePauses)
}
