package budgeter

import "time"

const (
	// probeSafety is the part of the fleet's rate that is used; what starts grant
	// takes the rest.
	probeSafety = 0.7
	// probeBurst is the time whose probes may be saved up: load at its worst lasts
	// several seconds, and the fleet's rate holds over much longer ones.
	probeBurst = 20 * time.Second
	// probeStart is the time whose probes a new process may use at once. It is
	// granted anew with each start.
	probeStart = 4 * time.Second
)

// Probes grants probes at an instance's share of the fleet's rate.
type Probes struct {
	tokens float64
	filled time.Time
}

// Take grants up to n probes and returns how many. The rate is what the whole
// fleet may send to all targets together per second; fleet instances share it.
func (p *Probes) Take(n int, rate float64, fleet int, now time.Time) int {
	share := probeSafety * rate / float64(max(fleet, 1))
	most := share * probeBurst.Seconds()
	if p.filled.IsZero() {
		p.tokens = share * probeStart.Seconds()
	} else {
		p.tokens = min(most, p.tokens+share*now.Sub(p.filled).Seconds())
	}
	p.filled = now
	granted := min(n, int(p.tokens))
	p.tokens -= float64(granted)
	return granted
}
