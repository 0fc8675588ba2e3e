package watchdog

import (
	"sync/atomic"
	"time"
)

const (
	// HeartbeatPeriod is the time between two beats.
	HeartbeatPeriod = 100 * time.Millisecond
	// Timeout is the time without a beat after which beliefs count as old.
	Timeout = 2 * time.Second
)

// Watchdog tells whether the process may rely on what it believes. Its methods may
// be called concurrently.
type Watchdog struct {
	// base is the start of the clock; it carries the monotonic time.
	base time.Time
	// last is the time of the newest beat since base, in nanoseconds.
	last atomic.Int64
}

// New returns a guard whose first beat is now.
func New(now time.Time) *Watchdog {
	return &Watchdog{base: now}
}

// Expired tells whether no beat came for longer than the limit. It takes no lock and
// sees a pause at once, also before any other part of the process has noticed it.
func (g *Watchdog) Expired(now time.Time) bool {
	return now.Sub(g.base)-time.Duration(g.last.Load()) > Timeout
}

// Heartbeat records that the process runs. It does nothing and returns false when
// beliefs are old: then Renew must follow once they have been made current.
func (g *Watchdog) Heartbeat(now time.Time) bool {
	if g.Expired(now) {
		return false
	}
	g.last.Store(int64(now.Sub(g.base)))
	return true
}

// Reset records that the beliefs were made current.
func (g *Watchdog) Reset(now time.Time) {
	g.last.Store(int64(now.Sub(g.base)))
}
