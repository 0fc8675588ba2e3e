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

	// odds holds the bits of the odds that the target is slow, from the answers
	// until oddsAt. They are never below leastOdds or above mostOdds.
	odds   atomic.Uint64
	oddsAt atomic.Int64

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

// NewTarget returns a target of which nothing is known.
func NewTarget(address netip.AddrPort, start string, origin time.Time, tuning *Tuning) *Target {
	t := &Target{Address: address, Start: start, origin: origin, tuning: tuning}
	t.odds.Store(math.Float64bits(tuning.Prior))
	t.oddsAt.Store(never)
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
// latency at a target with free slots. The mark is handed back to End.
func (t *Target) Begin(limit, slots int, normal time.Duration, now time.Time) (m Mark, ok bool) {
	for {
		n := t.outstanding.Load()
		if int(n) >= limit {
			return Mark{}, false
		}
		if t.outstanding.CompareAndSwap(n, n+1) {
			m.Stretch = 1 + max(0, float64(int(n)+1-slots))/float64(slots)
			break
		}
	}
	at := t.ticks(now)
	for m.place = range t.requests {
		r := &t.requests[m.place]
		if r.begun.Load() == 0 && r.begun.CompareAndSwap(0, at) {
			r.normal.Store(int64(float64(normal) * m.Stretch))
			return m, true
		}
	}
	m.place = tracked
	return m, true
}

// Mark is held by an outstanding request.
type Mark struct {
	// Stretch is by how much the requests already outstanding are expected to
	// lengthen this one.
	Stretch float64

	place int
}

// End gives back the room of one request.
func (t *Target) End(m Mark) {
	if m.place < tracked {
		t.requests[m.place].normal.Store(0)
		t.requests[m.place].begun.Store(0)
	}
	t.outstanding.Add(-1)
}

// ticks counts nanoseconds from the origin by the monotonic clock; it is never
// 0, which marks a free place.
func (t *Target) ticks(now time.Time) int64 { return sinceOrigin(t.origin, now) }

func sinceOrigin(origin, now time.Time) int64 { return max(1, int64(now.Sub(origin))) }

// ages returns the greatest age and the sum of the ages of the outstanding
// requests, in normal latencies of their kinds.
func (t *Target) ages(now int64) (oldest, sum float64) {
	left := t.outstanding.Load()
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
			age := float64(now-begun) / float64(normal)
			oldest = max(oldest, age)
			sum += age
		}
	}
	return oldest, sum
}

// Bounds of the odds that a target is slow, and of what one answer may change.
const (
	leastOdds, mostOdds         = 0.001, 1000
	leastEvidence, mostEvidence = 0.2, 20
)

// doubt is the probability of being slow, beyond that of an unknown target, from
// which a target counts as slower than an unknown one.
const doubt = 0.02

// Observe learns from an answer that took ratio times the normal latency.
//
// A target is taken to be normal or slow by a factor. With exponential service
// times the odds of slow change by exp(ratio*(1-1/factor))/factor.
func (t *Target) Observe(ratio float64, now time.Time) {
	evidence := math.Exp(min(ratio, 2*t.tuning.Factor)*(1-1/t.tuning.Factor)) / t.tuning.Factor
	t.weigh(evidence, t.ticks(now))
}

// ObserveAtLeast learns from a request that was given up after ratio times the
// normal latency.
func (t *Target) ObserveAtLeast(ratio float64, now time.Time) {
	t.weigh(surviving(ratio*(1-1/t.tuning.Factor)), t.ticks(now))
}

func (t *Target) weigh(evidence float64, at int64) {
	odds := t.recentOdds(at) * min(mostEvidence, max(leastEvidence, evidence))
	t.odds.Store(math.Float64bits(min(mostOdds, max(leastOdds, odds))))
	t.oddsAt.Store(at)
}

// recentOdds returns the odds from the answers, less what time has taken away;
// they tend to the prior, so that a target that was slow is tried again.
func (t *Target) recentOdds(now int64) float64 {
	odds := math.Float64frombits(t.odds.Load())
	weight := fading(now-t.oddsAt.Load(), t.tuning.Forget)
	p, prior := odds/(1+odds), t.tuning.Prior/(1+t.tuning.Prior)
	p = prior + (p-prior)*weight
	return p / (1 - p)
}

// surviving approximates exp for the evidence of requests that are outstanding.
func surviving(x float64) float64 {
	x = 1 + min(x, 16)/8
	x *= x
	x *= x
	return x * x
}

// slowness returns the expected time of a request relative to a normal target,
// and the age of the oldest request in normal latencies. A target known to be
// normal is no better than an unknown one, so that each is tried again.
func (t *Target) slowness(now int64) (slowness, oldest float64) {
	odds := t.recentOdds(now)
	oldest, sum := t.ages(now)
	if t.tuning.UseAges {
		odds *= surviving(sum * (1 - 1/t.tuning.Factor))
	}
	unknown := t.tuning.Prior/(1+t.tuning.Prior) + doubt
	slowness = 1 + (t.tuning.Factor-1)*max(0, odds/(1+odds)-unknown)
	if t.tuning.UseAges {
		slowness = max(slowness, oldest/2)
	}
	return slowness, oldest
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
	if t.tuning.ReportHalfLife <= 0 {
		return 0
	}
	external := math.Float64frombits(t.external.Load())
	if external == 0 {
		return 0
	}
	return external * fading(now-t.reportedAt.Load(), t.tuning.ReportHalfLife)
}

// Shed learns that the target refused a request because it is full.
func (t *Target) Shed(slots int, now time.Time) {
	t.external.Store(math.Float64bits(float64(max(1, slots))))
	t.reportedAt.Store(t.ticks(now))
}
