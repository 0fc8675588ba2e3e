package steerer

import (
	"math"
	"time"
)

const (
	// shrinkBelow is the share of the capacity of one home fewer that the rate has to
	// stay below before a service gives up homes.
	shrinkBelow = 0.7
	// shrinkAfter is the time for which the rate has to stay below it.
	shrinkAfter = 30 * time.Second
)

// Scaler decides how many homes of one service are active. The zero value is ready
// for use.
type Scaler struct {
	active int
	// lowSince is the time at which the rate fell below the bound by shrinkBelow; it is
	// zero while the rate is above.
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
	if rate >= shrinkBelow*homeRate*float64(s.active-1) {
		s.lowSince = time.Time{}
		return s.active
	}
	if s.lowSince.IsZero() {
		s.lowSince = now
	}
	if now.Sub(s.lowSince) >= shrinkAfter {
		s.active = max(needed, int(math.Ceil(rate/(shrinkBelow*homeRate))))
		s.lowSince = time.Time{}
	}
	return s.active
}
