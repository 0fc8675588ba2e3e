package chooser

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"
)

// maxTracked is the number of outstanding requests per target whose age is known;
// further ones are counted without an age.
const maxTracked = 16

// never is a time, in ticks, long before the origin. It stands for an event that
// has not happened or that lies far back. It is half of MinInt64 so that the
// difference from a present time does not overflow.
const never = math.MinInt64 / 2

// Target holds the observations of one instance about a target. It is kept
// across configurations while the target's process runs. All methods may be
// called concurrently.
type Target struct {
	// Address is where the target takes requests.
	Address netip.AddrPort
	// Start identifies the run of the target's process.
	Start string

	origin time.Time
	tuning *Tuning

	// outstanding counts the requests between Begin and End. Only a
	// compare-and-swap below the limit raises it.
	outstanding atomic.Int32
	// requests holds the outstanding requests whose age is known.
	requests [maxTracked]request

	// slowOdds holds the bits of the odds that the target is slow, from the
	// responses until slowOddsAt (in ticks). The odds stay between minOdds and maxOdds.
	slowOdds   atomic.Uint64
	slowOddsAt atomic.Int64

	// reportedExternalLoad holds the bits of the number of requests that other
	// callers had at the target at reportedAt (in ticks), the time of its last
	// report or of a later request that it shed.
	reportedExternalLoad atomic.Uint64
	reportedAt           atomic.Int64
	report               atomic.Pointer[Report]

	// failures counts consecutive failures. ejectedUntil is the end of the ejection,
	// in ticks, and never while the target has not reached the failure limit. trial
	// is not used.
	failures     atomic.Int32
	ejectedUntil atomic.Int64
	trial        atomic.Bool

	// draining is set when this run of the target has reported that it drains.
	draining atomic.Bool
}

// request is an outstanding request.
type request struct {
	// sentAt is when it was sent, in ticks; 0 marks a free element.
	sentAt atomic.Int64
	// expectedLatency is the normal latency of its kind times InFlight.LoadFactor,
	// in nanoseconds; 0 means unknown.
	expectedLatency atomic.Int64
}

// NewTarget returns a Target without observations.
func NewTarget(address netip.AddrPort, start string, origin time.Time, tuning *Tuning) *Target {
	t := &Target{Address: address, Start: start, origin: origin, tuning: tuning}
	t.slowOdds.Store(math.Float64bits(tuning.PriorOdds))
	t.slowOddsAt.Store(never)
	t.reportedAt.Store(never)
	t.ejectedUntil.Store(never)
	return t
}

// Outstanding returns the number of requests in flight from this instance.
func (t *Target) Outstanding() int { return int(t.outstanding.Load()) }

// Draining reports whether the target has reported that it drains.
func (t *Target) Draining() bool { return t.draining.Load() }

// SetDraining stops new requests to this run of the target.
func (t *Target) SetDraining() { t.draining.Store(true) }

// Begin takes capacity for one request if fewer than limit are outstanding. The
// target has the given number of slots, and the request's kind the given normal
// latency. The caller hands the InFlight to End.
func (t *Target) Begin(limit, slots int, normalLatency time.Duration, now time.Time) (f InFlight, ok bool) {
	for {
		n := t.outstanding.Load()
		if int(n) >= limit {
			return InFlight{}, false
		}
		if t.outstanding.CompareAndSwap(n, n+1) {
			f.LoadFactor = 1 + max(0, float64(int(n)+1-slots))/float64(slots)
			break
		}
	}
	at := t.ticks(now)
	for f.index = range t.requests {
		r := &t.requests[f.index]
		if r.sentAt.Load() == 0 && r.sentAt.CompareAndSwap(0, at) {
			r.expectedLatency.Store(int64(float64(normalLatency) * f.LoadFactor))
			return f, true
		}
	}
	f.index = maxTracked
	return f, true
}

// InFlight is one outstanding request at a Target.
type InFlight struct {
	// LoadFactor is the factor by which the requests that were outstanding before
	// this one are expected to lengthen its latency.
	LoadFactor float64

	// index is the request's index in Target.requests, or maxTracked when its age
	// is not known.
	index int
}

// End returns the capacity of one request.
func (t *Target) End(f InFlight) {
	if f.index < maxTracked {
		t.requests[f.index].expectedLatency.Store(0)
		t.requests[f.index].sentAt.Store(0)
	}
	t.outstanding.Add(-1)
}

// ticks returns the nanoseconds since the origin by the monotonic clock. It is
// never 0, which marks a free element of Target.requests.
func (t *Target) ticks(now time.Time) int64 { return sinceOrigin(t.origin, now) }

func sinceOrigin(origin, now time.Time) int64 { return max(1, int64(now.Sub(origin))) }

// ages returns the greatest age and the sum of the ages of the outstanding
// requests, in their expected latencies (normal latency times LoadFactor).
func (t *Target) ages(now int64) (oldest, sum float64) {
	remaining := t.outstanding.Load()
	for i := range t.requests {
		if remaining <= 0 {
			break
		}
		sentAt, expectedLatency := t.requests[i].sentAt.Load(), t.requests[i].expectedLatency.Load()
		if sentAt == 0 {
			continue
		}
		remaining--
		if expectedLatency > 0 {
			age := float64(now-sentAt) / float64(expectedLatency)
			oldest = max(oldest, age)
			sum += age
		}
	}
	return oldest, sum
}

// Bounds of the odds that a target is slow, and of the factor by which one
// response may change them.
const (
	minOdds, maxOdds         = 0.001, 1000
	minEvidence, maxEvidence = 0.2, 20
)

// slowProbabilityMargin is added to the probability that an unknown target is
// slow. A target counts as slower than an unknown one only if its own probability
// exceeds the sum.
const slowProbabilityMargin = 0.02

// Observe records a response that took ratio times the normal latency.
//
// A target is assumed to be either normal or slow with the slowdown s =
// Tuning.SlowTargetSlowdown. With exponential service times a response multiplies
// the odds that it is slow by exp(ratio*(1-1/s))/s.
func (t *Target) Observe(ratio float64, now time.Time) {
	evidence := math.Exp(min(ratio, 2*t.tuning.SlowTargetSlowdown)*(1-1/t.tuning.SlowTargetSlowdown)) / t.tuning.SlowTargetSlowdown
	t.applyEvidence(evidence, t.ticks(now))
}

// ObserveAtLeast records a request that was canceled after ratio times the normal
// latency. Its response would have taken at least that long, which multiplies the
// odds by exp(ratio*(1-1/s)), with s as in Observe.
func (t *Target) ObserveAtLeast(ratio float64, now time.Time) {
	t.applyEvidence(approxExp(ratio*(1-1/t.tuning.SlowTargetSlowdown)), t.ticks(now))
}

func (t *Target) applyEvidence(evidence float64, at int64) {
	odds := t.currentOdds(at) * min(maxEvidence, max(minEvidence, evidence))
	t.slowOdds.Store(math.Float64bits(min(maxOdds, max(minOdds, odds))))
	t.slowOddsAt.Store(at)
}

// currentOdds returns the odds that the target is slow. They decay towards the
// prior odds after the last response, so that a target that was slow is tried
// again.
func (t *Target) currentOdds(now int64) float64 {
	odds := math.Float64frombits(t.slowOdds.Load())
	weight := decay(now-t.slowOddsAt.Load(), t.tuning.EvidenceHalfLife)
	p, prior := odds/(1+odds), t.tuning.PriorOdds/(1+t.tuning.PriorOdds)
	p = prior + (p-prior)*weight
	return p / (1 - p)
}

// approxExp approximates exp(x) by (1+x/8)^8 and takes an x above 16 as 16. Each
// choice calls it once per scored candidate, for the evidence of the requests
// without a response.
func approxExp(x float64) float64 {
	x = 1 + min(x, 16)/8
	x *= x
	x *= x
	return x * x
}

// slowdown returns the expected latency relative to a normal target, and the age
// of the oldest request in expected latencies. With Tuning.UseAges the slowdown is
// at least half of that age. A target known to be normal scores no better than an
// unknown one, so that a new target gets requests, and so does each target again
// after its evidence has decayed.
func (t *Target) slowdown(now int64) (slowdown, oldest float64) {
	odds := t.currentOdds(now)
	oldest, sum := t.ages(now)
	if t.tuning.UseAges {
		odds *= approxExp(sum * (1 - 1/t.tuning.SlowTargetSlowdown))
	}
	unknown := t.tuning.PriorOdds/(1+t.tuning.PriorOdds) + slowProbabilityMargin
	slowdown = 1 + (t.tuning.SlowTargetSlowdown-1)*max(0, odds/(1+odds)-unknown)
	if t.tuning.UseAges {
		slowdown = max(slowdown, oldest/2)
	}
	return slowdown, oldest
}

// decay returns the weight of a value of the given age: 1 when it is new, a half
// at the half-life, and nearly 0 when it is very old. It is always 1 if halfLife
// is 0.
func decay(age int64, halfLife time.Duration) float64 {
	if halfLife <= 0 || age < 0 {
		return 1
	}
	x := float64(age) / float64(halfLife)
	return 1 / (1 + x*(1+x)/2)
}

// UpdateLoad stores a report of the target's load unless a later one is known. at
// is the time of the report: when the target made it or, for a report in a
// response, when the response arrived. own is the number of requests of this
// instance that the report may include.
func (t *Target) UpdateLoad(r Report, own int, at time.Time) {
	if !r.Valid() || t.ticks(at) < t.reportedAt.Load() {
		return
	}
	t.report.Store(&r)
	t.reportedExternalLoad.Store(math.Float64bits(float64(max(0, r.Running+r.Queued-own))))
	t.reportedAt.Store(t.ticks(at))
}

// LastReport returns the last report and its age, or the time since a later request
// that the target shed. ok is false when there is no report.
func (t *Target) LastReport(now time.Time) (r Report, age time.Duration, ok bool) {
	last := t.report.Load()
	if last == nil {
		return Report{}, 0, false
	}
	return *last, time.Duration(t.ticks(now) - t.reportedAt.Load()), true
}

// externalLoad returns the number of requests of other callers, weighted by the
// age of the report.
func (t *Target) externalLoad(now int64) float64 {
	if t.tuning.ReportHalfLife <= 0 {
		return 0
	}
	load := math.Float64frombits(t.reportedExternalLoad.Load())
	if load == 0 {
		return 0
	}
	return load * decay(now-t.reportedAt.Load(), t.tuning.ReportHalfLife)
}

// RecordShed records that the target shed a request because it is full. All its
// slots count as taken by other callers.
func (t *Target) RecordShed(slots int, now time.Time) {
	t.reportedExternalLoad.Store(math.Float64bits(float64(max(1, slots))))
	t.reportedAt.Store(t.ticks(now))
}
