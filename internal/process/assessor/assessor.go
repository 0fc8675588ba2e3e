package assessor

import (
	"sync"
	"time"
)

// Resources is what the settings of an instance allow it to use. A zero value is unknown.
type Resources struct {
	// Cores is the share of a processor's core, times its speed.
	Cores float64
	// Link is the rate of the network link in bytes per second.
	Link float64
}

// Costs is what one request takes on average.
type Costs struct {
	// CPU is processor time, Bytes the size of the response.
	CPU   time.Duration
	Bytes float64
}

// The greatest resources that count as known: shares of others are computed from them.
const (
	maxCores = 1 << 20
	// maxLink is in bytes per second.
	maxLink = 1 << 50
)

// Capacity returns the requests per second that the resources allow, or 0 if they are
// unknown or make no sense. The scarcer resource decides.
func (r Resources) Capacity(c Costs) float64 {
	if !(r.Cores > 0 && r.Cores <= maxCores && r.Link > 0 && r.Link <= maxLink) {
		return 0
	}
	return min(r.Cores/max(c.CPU.Seconds(), minCPU.Seconds()), r.Link/max(c.Bytes, 1))
}

const (
	// priorRequests is the weight of the costs that are assumed before requests were
	// measured: those of a short lookup.
	priorRequests = 200
	priorCPU      = time.Millisecond
	priorBytes    = 2 << 10
	// minCPU is the least processor time of a request that counts.
	minCPU = 50 * time.Microsecond
	// costMemory is the number of requests after which earlier ones count half. A zone's
	// mix of requests changes within minutes.
	costMemory = 4000
)

// Usage holds counters of an instance since its start.
type Usage struct {
	// Requests counts the requests that have ended, Bytes the bytes of their responses.
	Requests, Bytes uint64
	// CPU is the processor time of the process.
	CPU time.Duration
}

// Assessor measures the costs of requests and the ease of one instance. It is safe for
// concurrent use.
type Assessor struct {
	// Resources are this instance's own.
	Resources Resources

	mutex sync.Mutex
	// last is the usage at lastAt.
	last   Usage
	lastAt time.Time
	// requests, cpu and bytes are the totals of the requests measured, earlier ones counting
	// less.
	requests, cpu, bytes float64
	// lateness is the greatest lateness since lastAt.
	lateness time.Duration
	pressure pressure
}

// RecordLateness records how much later than planned a step of the instance ran, because
// it waited for the processor.
func (a *Assessor) RecordLateness(d time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.lateness = max(a.lateness, d)
}

// Record records the counters as of now. It is called once a second or so.
func (a *Assessor) Record(u Usage, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	before, elapsed := a.last, now.Sub(a.lastAt).Seconds()
	first := a.lastAt.IsZero()
	a.last, a.lastAt = u, now
	if first || elapsed <= 0 {
		return
	}
	requests, cpu, bytes := float64(u.Requests-before.Requests), (u.CPU - before.CPU).Seconds(), float64(u.Bytes-before.Bytes)
	if total := a.requests + requests; total > costMemory {
		keep := costMemory / total
		a.requests, a.cpu, a.bytes = a.requests*keep, a.cpu*keep, a.bytes*keep
	}
	a.requests, a.cpu, a.bytes = a.requests+requests, a.cpu+cpu, a.bytes+bytes
	use := 0.0
	if a.Resources.Cores > 0 && a.Resources.Link > 0 {
		use = max(cpu/elapsed/a.Resources.Cores, bytes/elapsed/a.Resources.Link)
	}
	a.pressure.record(use, a.lateness, now)
	a.lateness = 0
}

// Costs returns what a request takes on average.
func (a *Assessor) Costs() Costs {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	n := a.requests + priorRequests
	return Costs{
		CPU:   time.Duration((a.cpu + priorRequests*priorCPU.Seconds()) / n * float64(time.Second)),
		Bytes: (a.bytes + priorRequests*priorBytes) / n,
	}
}

// Ease returns the part of its capacity with which the instance should be counted at
// present: 1 unless it is choked.
func (a *Assessor) Ease() float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.pressure.ease()
}
