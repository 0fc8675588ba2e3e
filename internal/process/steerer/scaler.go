package steerer

import (
	"math"
	"time"
)

const (
	// shrinkUtilization bounds the utilization after a shrink: a service gives up homes
	// only while its rate is below this share of the capacity of the active homes less
	// one, so that the remaining homes keep a reserve.
	shrinkUtilization = 0.7
	// shrinkAfter is the time for which the rate has to stay that low, so that a short
	// dip in the rate moves no callers.
	shrinkAfter = 30 * time.Second
)

// Scaler decides how many homes of one service are active. The zero value is ready
// for use.
type Scaler struct {
	active int
	// lowSince is the time since which the rate has been low enough to give up a home;
	// it is zero while the rate is higher.
	lowSince time.Time
}

// Active returns the number of active homes for a call rate; both rate and homeRate,
// the rate that one home can take, are in calls per second. The number grows at once
// and shrinks after the rate has been low for shrinkAfter.
func (s *Scaler) Active(rate, homeRate float64, now time.Time) int {
	needed := 1
	if homeRate > 0 && rate > homeRate {
		needed = int(math.Ceil(rate / homeRate))
	}
	if needed >= s.active {
		s.active = needed
		s.lowSince = time.Time{}
		return s.active
	}
	if rate >= shrinkUtilization*homeRate*float64(s.active-1) {
		s.lowSince = time.Time{}
		return s.active
	}
	if s.lowSince.IsZero() {
		s.lowSince = now
	}
	if now.Sub(s.lowSince) >= shrinkAfter {
		s.active = max(needed, int(math.Ceil(rate/(shrinkUtilization*homeRate))))
		s.lowSince = time.Time{}
	}
	return s.active
}
