package watchdog

import (
	"sync/atomic"
	"time"
)

const (
	// HeartbeatPeriod is the time between two heartbeats.
	HeartbeatPeriod = 100 * time.Millisecond
	// Timeout is the time without a heartbeat after which the process counts as
	// paused and its data as outdated. It is 20 heartbeat periods long, so that a slow
	// machine does not count as paused.
	Timeout = 2 * time.Second
)

// Watchdog tells whether the process may rely on its data. Its methods are safe for
// concurrent use.
type Watchdog struct {
	// startTime is the time of the first heartbeat, with a monotonic clock reading.
	startTime time.Time
	// lastHeartbeatNs is the time of the latest heartbeat, in nanoseconds since
	// startTime.
	lastHeartbeatNs atomic.Int64
}

// New returns a watchdog whose first heartbeat is now.
func New(now time.Time) *Watchdog {
	return &Watchdog{startTime: now}
}

// Expired reports whether the latest heartbeat is older than Timeout. It takes no lock
// and detects a pause as soon as the process continues, even before any other part of
// the process has noticed it.
func (w *Watchdog) Expired(now time.Time) bool {
	return now.Sub(w.startTime)-time.Duration(w.lastHeartbeatNs.Load()) > Timeout
}

// Heartbeat records that the process runs. If the watchdog has expired, Heartbeat
// only returns false; the caller must then update the data and call Reset.
func (w *Watchdog) Heartbeat(now time.Time) bool {
	if w.Expired(now) {
		return false
	}
	w.lastHeartbeatNs.Store(int64(now.Sub(w.startTime)))
	return true
}

// Reset ends the expired state. The caller has updated the data before.
func (w *Watchdog) Reset(now time.Time) {
	w.lastHeartbeatNs.Store(int64(now.Sub(w.startTime)))
}
