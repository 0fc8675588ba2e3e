package limiter

import "time"

// ownersAtOnce is the number of owners of a run that may grant permits at the same time
// while the views of the fleet differ. Each of them may grant the whole rate until it sees
// that others are missing.
const ownersAtOnce = 3

// Warmup is the bound on the requests to a cold run.
type Warmup struct {
	// Rate is the number of requests per second of all instances.
	Rate float64
	// Until is when the run is warm; the zero time means that it is.
	Until time.Time
	// since is when this instance learned that the run is cold.
	since time.Time
}

// maxWarmupWait bounds the wait for the next permit of a cold run. An owner with a small share
// may see the rest of the fleet again by then.
const maxWarmupWait = time.Second

// maxInterval bounds the time between two permits of an instance with a small share.
const maxInterval = time.Hour

// WarmupRate returns the rate of permits for a cold target that tolerates a number of
// requests per second, so that the fleet sends at most overshoot times that number, plus
// slack, in any second. It is Unlimited if the target or the fleet has no such bound.
func WarmupRate(tolerated, overshoot, slack float64) float64 {
	if tolerated <= 0 || overshoot <= 0 {
		return Unlimited
	}
	return min(tolerated, (tolerated*overshoot+slack)/ownersAtOnce)
}

// SetWarmup records the bound on a run while it is cold. It replaces an earlier one.
func (l *Limiter) SetWarmup(key string, w Warmup, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.limits[key]
	if known == nil {
		if w.Until.IsZero() {
			return
		}
		known = l.add(key)
	}
	known.warmup = w.after(known.warmup, now)
}

// after returns the warm-up as it replaces another one.
func (w Warmup) after(o Warmup, now time.Time) Warmup {
	w.since = now
	if now.Before(o.Until) {
		w.since = o.since
	}
	return w
}

// HoldWarmup records that another instance knows that a run is cold.
func (l *Limiter) HoldWarmup(key string, w Warmup, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.limits[key]
	if known == nil {
		known = l.add(key)
	}
	known.held = w.after(known.held, now)
}

// Bound returns the number of messages per second that a run takes from all instances now,
// by its limit and its warm-up.
func (l *Limiter) Bound(key string, now time.Time) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.limits[key]; known != nil {
		return known.bound(now)
	}
	return Unlimited
}

func (k *limit) bound(now time.Time) float64 {
	rate := k.rate
	for _, w := range [...]Warmup{k.warmup, k.held} {
		if now.Before(w.Until) {
			rate = min(rate, w.Rate)
		}
	}
	return rate
}

// interval returns the time between two permits of an instance with a share of the bound. A
// limit grants at least minRate; a warm-up ends by itself.
func (k *limit) interval(share float64, now time.Time) time.Duration {
	rate := usedShare * share * k.bound(now)
	if k.bound(now) == k.rate {
		rate = max(rate, minRate)
	}
	return time.Duration(min(float64(time.Second)/rate, float64(maxInterval)))
}

// since returns from when on this instance counts the messages to the run. An instance that
// begins to count grants nothing at once: in a fleet that falls apart many begin.
func (k *limit) since() time.Time {
	last := k.observed
	for _, w := range [...]Warmup{k.warmup, k.held} {
		if w.since.After(last) {
			last = w.since
		}
	}
	return last
}

// Claim returns the fact that a request for a permit carries. For a cold run that names no
// lower limit it is the rate of the warm-up: an owner that knows nothing of warm-ups takes
// it as a limit, until a response of the run names none.
func (l *Limiter) Claim(key string, now time.Time) Fact {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.limits[key]; known != nil && known.bound(now) < known.rate {
		return Fact{Rate: known.bound(now)}
	}
	return l.fact(key, now)
}
