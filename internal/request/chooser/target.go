package chooser

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"
)

// tracked is the number of outstanding requests per target whose age is known;
// any beyond are counted without an age.
const tracked = 16

// never marks a time that has not come.
const never = math.MinInt64 / 2

// Target holds what one instance has learnt about a target. It outlives
// configurations for as long as the target's process runs. All methods may be
// called concurrently.
type Target struct {
	// Address is where the target takes requests.
	Address netip.AddrPort
	// Start names the run of the target's process.
	Start string

	origin time.Time
	tuning *Tuning

	// outstanding counts granted and not yet released requests; it is only
	// raised by a compare-and-swap below the limit.
	outstanding atomic.Int32
	// requests holds the outstanding requests whose age is known.
	requests [tracked]request

	// slowness holds the bits of the latency average relative to the normal
	// latency, as of slownessAt. It is never below 1/maxSlowness.
	slowness   atomic.Uint64
	slownessAt atomic.Int64

	// external is the load that others had at the target when it last reported,
	// reportedAt the time the report arrived.
	external   atomic.Uint64
	reportedAt atomic.Int64
	report     atomic.Pointer[Report]

	// failures counts consecutive failures, ejectedUntil ends the ejection and
	// trial is held by the one request of a half-open target.
	failures     atomic.Int32
	ejectedUntil atomic.Int64
	trial        atomic.Bool

	// closed is set when the target said that it drains; a new Start opens it.
	closed atomic.Bool
}

// request is an outstanding request.
type request struct {
	// begun is when it was sent; 0 marks a free place.
	begun atomic.Int64
	// normal is the normal latency of its kind in nanoseconds; 0 is unknown.
	normal atomic.Int64
}

// maxSlowness bounds the learnt slowness and its inverse.
const maxSlowness = 64

// NewTarget returns a target of which nothing is known.
func NewTarget(address netip.AddrPort, start string, origin time.Time, tuning *Tuning) *Target {
	t := &Target{Address: address, Start: start, origin: origin, tuning: tuning}
	t.slowness.Store(math.Float64bits(1))
	t.slownessAt.Store(never)
	t.reportedAt.Store(never)
	t.ejectedUntil.Store(never)
	return t
}

// Outstanding returns the number of requests in flight from this instance.
func (t *Target) Outstanding() int { return int(t.outstanding.Load()) }

// Closed tells whether the target said that it drains.
func (t *Target) Closed() bool { return t.closed.Load() }

// Close stops new requests to this run of the target.
func (t *Target) Close() { t.closed.Store(true) }

// Begin takes room for one request below limit, of a kind with the given normal
// latency. The mark is handed back to End.
func (t *Target) Begin(limit int, normal time.Duration, now time.Time) (mark int, ok bool) {
	for {
		n := t.outstanding.Load()
		if int(n) >= limit {
			return 0, false
		}
		if t.outstanding.CompareAndSwap(n, n+1) {
			break
		}
	}
	at := t.ticks(now)
	for i := range t.requests {
		r := &t.requests[i]
		if r.begun.Load() == 0 && r.begun.CompareAndSwap(0, at) {
			r.normal.Store(int64(normal))
			return i, true
		}
	}
	return tracked, true
}

// End gives back the room of one request.
func (t *Target) End(mark int) {
	if mark < tracked {
		t.requests[mark].normal.Store(0)
		t.requests[mark].begun.Store(0)
	}
	t.outstanding.Add(-1)
}

// ticks counts nanoseconds from the origin by the monotonic clock; it is never
// 0, which marks a free place.
func (t *Target) ticks(now time.Time) int64 { return sinceOrigin(t.origin, now) }

func sinceOrigin(origin, now time.Time) int64 { return max(1, int64(now.Sub(origin))) }

// oldest returns the greatest age of an outstanding request, in normal
// latencies of its kind.
func (t *Target) oldest(now int64) float64 {
	left := t.outstanding.Load()
	oldest := 0.0
	for i := range t.requests {
		if left <= 0 {
			break
		}
		begun, normal := t.requests[i].begun.Load(), t.requests[i].normal.Load()
		if begun == 0 {
			continue
		}
		left--
		if normal > 0 {
			oldest = max(oldest, float64(now-begun)/float64(normal))
		}
	}
	return oldest
}

// Observe learns from an answer that took ratio times the normal latency.
func (t *Target) Observe(ratio float64, now time.Time) {
	at := t.ticks(now)
	old := t.decayed(at)
	gain := t.tuning.Gain
	if ratio > old {
		gain = t.tuning.Peak
	}
	t.store(old+gain*(bounded(ratio)-old), at)
}

// ObserveAtLeast learns from a request that was given up after ratio times the
// normal latency; a short one says nothing.
func (t *Target) ObserveAtLeast(ratio float64, now time.Time) {
	if ratio > t.decayed(t.ticks(now)) {
		t.Observe(ratio, now)
	}
}

func (t *Target) store(slowness float64, at int64) {
	t.slowness.Store(math.Float64bits(bounded(slowness)))
	t.slownessAt.Store(at)
}

func bounded(ratio float64) float64 { return min(maxSlowness, max(1.0/maxSlowness, ratio)) }

// decayed returns the slowness with the share that time has taken away; it
// tends to 1, so that a target that was slow is tried again.
func (t *Target) decayed(now int64) float64 {
	slowness := math.Float64frombits(t.slowness.Load())
	return 1 + (slowness-1)*fading(now-t.slownessAt.Load(), t.tuning.Forget)
}

// fading falls from 1 to a half at the given half-life and to 0 beyond all.
func fading(age int64, half time.Duration) float64 {
	if half <= 0 || age < 0 {
		return 1
	}
	x := float64(age) / float64(half)
	return 1 / (1 + x*(1+x)/2)
}

// Hear stores a report of the target's load that arrived at the given time.
// own is the number of requests of this instance that the report may include.
func (t *Target) Hear(r Report, own int, at time.Time) {
	if !r.Valid() || t.ticks(at) < t.reportedAt.Load() {
		return
	}
	t.report.Store(&r)
	t.external.Store(math.Float64bits(float64(max(0, r.Running+r.Queued-own))))
	t.reportedAt.Store(t.ticks(at))
}

// Reported returns the last report and its age; ok is false when there is none.
func (t *Target) Reported(now time.Time) (r Report, age time.Duration, ok bool) {
	last := t.report.Load()
	if last == nil {
		return Report{}, 0, false
	}
	return *last, time.Duration(t.ticks(now) - t.reportedAt.Load()), true
}

// others returns the load of others, weighed by the age of the report.
func (t *Target) others(now int64) float64 {
	if t.tuning.Stale <= 0 {
		return 0
	}
	external := math.Float64frombits(t.external.Load())
	if external == 0 {
		return 0
	}
	return external * fading(now-t.reportedAt.Load(), t.tuning.Stale)
}

// Shed learns that the target refused a request because it is full.
func (t *Target) Shed(slots int, now time.Time) {
	t.external.Store(math.Float64bits(float64(max(1, slots))))
	t.reportedAt.Store(t.ticks(now))
}
