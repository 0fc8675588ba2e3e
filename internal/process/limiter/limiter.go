package limiter

import (
	"math"
	"sync"
	"time"
)

// Unlimited is the limit of a target that names none, in requests per second.
var Unlimited = math.Inf(1)

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

// Observe records the limit that a response of a run names and returns the limit that was
// known before.
func (l *Limiter) Observe(key string, rate float64, _ time.Time) (before float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.limits[key]
	if known == nil {
		if rate == Unlimited {
			return Unlimited
		}
		known = &limit{rate: Unlimited}
		l.limits[key] = known
	}
	before, known.rate = known.rate, rate
	return before
}
