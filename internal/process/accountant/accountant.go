package accountant

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Key identifies a request kind. Kind is empty for costs of a service as a whole.
// Service is empty as well for costs of a place as a whole.
type Key struct {
	Place   string `json:"place"`
	Service string `json:"service"`
	Kind    string `json:"kind"`
}

// Counters holds the totals of one key since the start of the process. The totals never
// decrease.
type Counters struct {
	// Requests counts the requests of callers, and Done, NotExecuted and Unknown their
	// outcomes.
	Requests, Done, NotExecuted, Unknown atomic.Int64
	// TargetTime is the sum in nanoseconds of the latencies of all attempts, as measured
	// by the instance.
	TargetTime atomic.Int64
	// BytesIn and BytesOut count the bytes of bodies from callers and to callers.
	BytesIn, BytesOut atomic.Int64
	// Retries counts the attempts after a failed one. Hedges counts the attempts that
	// were started beside a slow one.
	Retries, Hedges atomic.Int64
	// Probes counts the health probes that were sent.
	Probes atomic.Int64
	// Connections counts the connections that were opened to targets.
	Connections atomic.Int64
}

// Accountant holds the counters of an instance.
type Accountant struct {
	// Instance and Zone identify the instance in reports. Instance is its address for
	// callers.
	Instance netip.AddrPort
	Zone     string
	// ControlMessages and ControlBytes are the number of messages exchanged with peers in
	// both directions and their bytes. They are set before each report. They do not
	// include operations that instances send to each other, namely forwarded requests,
	// token requests and handovers, nor their outcomes and cancellations.
	ControlMessages, ControlBytes atomic.Int64

	started time.Time
	// cpuTime returns the CPU time used by the process.
	cpuTime func() time.Duration
	// counters is replaced as a whole when a key is added, so that readers need no lock.
	counters atomic.Pointer[map[Key]*Counters]
	mu       sync.Mutex
}

// New returns the accountant of a process that starts now.
func New(instance netip.AddrPort, zone string, now time.Time) *Accountant {
	a := &Accountant{Instance: instance, Zone: zone, started: now, cpuTime: processCPUTime}
	a.counters.Store(&map[Key]*Counters{})
	return a
}

// Counters returns the counters of a key and creates them if there are none. All keys
// come from the settings tree, which bounds their number.
func (a *Accountant) Counters(k Key) *Counters {
	if c := (*a.counters.Load())[k]; c != nil {
		return c
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	old := *a.counters.Load()
	if c := old[k]; c != nil {
		return c
	}
	updated := maps.Clone(old)
	c := &Counters{}
	updated[k] = c
	a.counters.Store(&updated)
	return c
}

// Report returns the totals up to now.
func (a *Accountant) Report(now time.Time) Report {
	r := Report{
		Instance: a.Instance, Zone: a.Zone, Since: a.started, Until: now,
		ControlMessages: a.ControlMessages.Load(), ControlBytes: a.ControlBytes.Load(), CPUTime: Duration(a.cpuTime()),
	}
	for k, c := range *a.counters.Load() {
		r.Lines = append(r.Lines, Line{Key: k, Amounts: c.amounts()})
	}
	sortLines(r.Lines)
	return r
}

func (c *Counters) amounts() Amounts {
	return Amounts{
		Requests: c.Requests.Load(), Done: c.Done.Load(), NotExecuted: c.NotExecuted.Load(), Unknown: c.Unknown.Load(),
		TargetTime: Duration(c.TargetTime.Load()), BytesIn: c.BytesIn.Load(), BytesOut: c.BytesOut.Load(),
		Retries: c.Retries.Load(), Hedges: c.Hedges.Load(),
		Probes: c.Probes.Load(), Connections: c.Connections.Load(),
	}
}
