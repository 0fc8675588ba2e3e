package steerer

import (
	"math"
	"time"
)

const (
	// shrinkBelow is the share of the capacity of one home fewer below which a
	// service gives up a home.
	shrinkBelow = 0.7
	// shrinkAfter is how long the rate has to stay below it.
	shrinkAfter = 30 * time.Second
)

// Scaler decides how many homes of one service are active. The zero value is
// ready for use.
type Scaler struct {
	active int
	// low is when the rate fell below what allows one home fewer; zero when it
	// has not.
	low time.Time
}

// Active returns the number of active homes for a call rate, where one home is
// sized for size calls per second. It grows at once and shrinks after a while.
func (s *Scaler) Active(rate, size float64, now time.Time) int {
	need := 1
	if size > 0 && rate > size {
		need = int(math.Ceil(rate / size))
	}
	if need >= s.active {
		s.active = need
		s.low = time.Time{}
		return s.active
	}
	if rate >= shrinkBelow*size*float64(s.active-1) {
		s.low = time.Time{}
		return s.active
	}
	if s.low.IsZero() {
		s.low = now
	}
	if now.Sub(s.low) >= shrinkAfter {
		s.active = max(need, int(math.Ceil(rate/(shrinkBelow*size))))
		s.low = time.Time{}
	}
	return s.active
}
