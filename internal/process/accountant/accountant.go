package accountant

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Key names a request kind. Kind is empty for what is spent on a service as a
// whole, and Service too for what is spent on a place.
type Key struct {
	Place   string `json:"place"`
	Service string `json:"service"`
	Kind    string `json:"kind"`
}

// Counters are the running totals of one key since the start of the process.
// They only grow.
type Counters struct {
	// Requests counts callers' requests; Done, Unrun and Unknown their outcomes.
	Requests, Done, Unrun, Unknown atomic.Int64
	// Target is the time in nanoseconds that targets spent on requests, first
	// tries and others, as seen from the instance.
	Target atomic.Int64
	// In and Out are the bytes of bodies from callers and to callers.
	In, Out atomic.Int64
	// Retries and Hedges count tries beyond the first: after a failure, and
	// beside a slow try.
	Retries, Hedges atomic.Int64
	// Probes counts health checks that were sent.
	Probes atomic.Int64
	// Connections counts connections opened to targets.
	Connections atomic.Int64
}

// Accountant holds the counters of an instance.
type Accountant struct {
	// Instance and Zone name the instance in reports.
	Instance netip.AddrPort
	Zone     string
	// Messages and Bytes count the frames exchanged with peers and the platform,
	// both ways.
	Messages, Bytes atomic.Int64

	started time.Time
	// processor returns the processor time used by the process.
	processor func() time.Duration
	// all is replaced as a whole when a key is added, so that reading needs no lock.
	all atomic.Pointer[map[Key]*Counters]
	mu  sync.Mutex
}

// New starts the accounts of a process.
func New(instance netip.AddrPort, zone string, now time.Time) *Accountant {
	a := &Accountant{Instance: instance, Zone: zone, started: now, processor: processorTime}
	a.all.Store(&map[Key]*Counters{})
	return a
}

// Counters returns the counters of a key. Keys come from the settings tree, which
// bounds their number.
func (a *Accountant) Counters(k Key) *Counters {
	if c := (*a.all.Load())[k]; c != nil {
		return c
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	old := *a.all.Load()
	if c := old[k]; c != nil {
		return c
	}
	grown := maps.Clone(old)
	c := &Counters{}
	grown[k] = c
	a.all.Store(&grown)
	return c
}

// Report returns the totals up to now.
func (a *Accountant) Report(now time.Time) Report {
	r := Report{
		Instance: a.Instance, Zone: a.Zone, Since: a.started, Until: now,
		ControlMessages: a.Messages.Load(), ControlBytes: a.Bytes.Load(), CPUTime: Duration(a.processor()),
	}
	for k, c := range *a.all.Load() {
		r.Lines = append(r.Lines, Line{Key: k, Amounts: c.amounts()})
	}
	sortLines(r.Lines)
	return r
}

func (c *Counters) amounts() Amounts {
	return Amounts{
		Requests: c.Requests.Load(), Done: c.Done.Load(), Unrun: c.Unrun.Load(), Unknown: c.Unknown.Load(),
		Target: Duration(c.Target.Load()), In: c.In.Load(), Out: c.Out.Load(),
		Retries: c.Retries.Load(), Hedges: c.Hedges.Load(),
		Probes: c.Probes.Load(), Connections: c.Connections.Load(),
	}
}
