package limiter

import (
	"math"
	"sync"
	"time"
)

const (
	// usedShare is the part of a limit that is used. The rest covers messages of instances
	// that have not heard of the limit yet.
	usedShare = 0.9
	// minRate is the least rate of permits per second. It applies to limits near 0, so that
	// the end of the limit is noticed.
	minRate = 0.1
	// burstTime is the time for which unused permits are saved up. It covers the jitter of
	// requests to a target with a high limit; with a low one there is one permit at most.
	burstTime = 250 * time.Millisecond
	// recheckInterval is the time without a response of a limited run after which its owner
	// sends it a request although other targets have room.
	recheckInterval = 2 * time.Second
	// spreadRatio is the relative change of a limit from which other instances are told.
	spreadRatio = 0.1
	// retention is how long the limit of a run that is not listed is kept. The list may
	// arrive later than a rumor.
	retention = time.Minute
	// NotOwnerWait is how long to wait before the next request for a permit if the asked
	// instance does not answer or does not count itself as the owner: about the time in
	// which the views of the fleet agree again.
	NotOwnerWait = 250 * time.Millisecond
)

// Unlimited is the limit of a target that names none, in requests per second.
var Unlimited = math.Inf(1)

// Fact is what an instance knows of the limit of a run.
type Fact struct {
	// Rate is the limit in requests per second.
	Rate float64
	// Age is the time since the response that named it.
	Age time.Duration
}

// Permit is the answer to the question whether a message may be sent to a run.
type Permit struct {
	// Wait is 0 if the message may be sent, otherwise the time until the next permit.
	Wait time.Duration
	// Fact is what the answering instance knows of the limit.
	Fact Fact
}

// Limiter holds the limits of the targets. It is safe for concurrent use.
type Limiter struct {
	mutex sync.Mutex
	// limits holds the limit of each run of a target that has named one, by the key of
	// the run.
	limits map[string]*limit
}

// limit is what is known about the limit of one run.
type limit struct {
	// rate is the limit in requests per second, Unlimited once the run names none.
	rate float64
	// observed is when the response arrived that named the rate, here or at another
	// instance.
	observed time.Time
	// answered is when a response of the run last arrived here; zero means never.
	answered time.Time
	// told is the rate that the other instances were told.
	told float64
	// warmup is the bound on requests while the run is cold, as this instance knows it, and
	// held is the one that others know, by their requests for permits.
	warmup, held Warmup
	// next is the time of the next permit of this instance; zero before the first request
	// for one.
	next time.Time
}

// New returns a limiter that knows no limit.
func New() *Limiter { return &Limiter{limits: map[string]*limit{}} }

// Rate returns the limit of a run in requests per second.
func (l *Limiter) Rate(key string) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.limits[key]; known != nil {
		return known.rate
	}
	return Unlimited
}

// Fact returns what is known of the limit of a run.
func (l *Limiter) Fact(key string, now time.Time) Fact {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fact(key, now)
}

func (l *Limiter) fact(key string, now time.Time) Fact {
	known := l.limits[key]
	if known == nil {
		return Fact{Rate: Unlimited, Age: retention}
	}
	return Fact{Rate: known.rate, Age: max(now.Sub(known.observed), 0)}
}

// Observe records the limit that a response of a run names. It returns the limit that was
// known before, and whether the other instances should be told of the change.
func (l *Limiter) Observe(key string, rate float64, now time.Time) (before float64, spread bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.limits[key]
	if known == nil {
		if rate == Unlimited {
			return Unlimited, false
		}
		known = l.add(key)
	}
	before, known.rate = known.rate, rate
	known.observed, known.answered = now, now
	if spread = differs(rate, known.told); spread {
		known.told = rate
	}
	return before, spread
}

// differs reports whether a limit is far enough from the one that the other instances were
// told.
func differs(rate, told float64) bool {
	if rate == Unlimited || told == Unlimited {
		return rate != told
	}
	return math.Abs(rate-told) > spreadRatio*told
}

// Receive applies what another instance knows of the limit of a run, unless this instance
// knows something newer. It reports whether the limit has changed.
func (l *Limiter) Receive(key string, f Fact, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.receive(key, f, now)
}

func (l *Limiter) receive(key string, f Fact, now time.Time) bool {
	known, observed := l.limits[key], now.Add(-f.Age)
	if known == nil {
		if f.Rate == Unlimited {
			return false
		}
		known = l.add(key)
	}
	if !observed.After(known.observed) {
		return false
	}
	changed := known.rate != f.Rate
	known.rate, known.told, known.observed = f.Rate, f.Rate, observed
	return changed
}

func (l *Limiter) add(key string) *limit {
	known := &limit{rate: Unlimited, told: Unlimited}
	l.limits[key] = known
	return known
}

// Grant answers whether one more message may be sent to a run that this instance owns, on
// behalf of an instance that knows f of the limit. Share is the part of the limit that this
// instance may grant. It also reports whether f has changed what this instance knows.
func (l *Limiter) Grant(key string, f Fact, share float64, now time.Time) (p Permit, changed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	changed = l.receive(key, f, now)
	known := l.limits[key]
	p.Fact = l.fact(key, now)
	if known == nil || known.bound(now) == Unlimited {
		return p, changed
	}
	interval := known.interval(share, now)
	switch latest := now.Add(interval); {
	case known.next.IsZero():
		known.next = known.since().Add(interval)
	case known.next.After(latest):
		// The share of this instance, or the rate, has risen.
		known.next = latest
	}
	if now.Before(known.next) {
		p.Wait = known.next.Sub(now)
		if known.bound(now) < known.rate {
			p.Wait = min(p.Wait, maxWarmupWait)
		}
		return p, changed
	}
	if earliest := now.Add(-burstTime); known.next.Before(earliest) {
		known.next = earliest
	}
	known.next = known.next.Add(interval)
	if interval > burstTime {
		known.next = now.Add(interval)
	}
	return p, changed
}

// NeedsRecheck reports whether a limited run has not responded to this instance for
// recheckInterval, so that its limit may have ended unnoticed, or a cold one, so that it may
// be unused.
func (l *Limiter) NeedsRecheck(key string, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.limits[key]
	return known != nil && known.bound(now) != Unlimited && now.Sub(known.answered) > recheckInterval
}

// Retain forgets the limits of runs that are not listed.
func (l *Limiter) Retain(listed func(key string) bool, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for key, known := range l.limits {
		if now.Sub(known.observed) > retention && !listed(key) {
			delete(l.limits, key)
		}
	}
}

// Count returns the number of runs that name a limit.
func (l *Limiter) Count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n := 0
	for _, known := range l.limits {
		if known.rate != Unlimited {
			n++
		}
	}
	return n
}
