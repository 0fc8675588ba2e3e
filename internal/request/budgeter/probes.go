package budgeter

import "time"

const (
	// probeSafetyFactor is the fraction of the fleet's rate that is used. The rest
	// covers the probes that instances get at their start.
	probeSafetyFactor = 0.7
	// probeBurstPeriod is the period whose probes can be saved up. Load peaks last
	// for several seconds; the fleet's rate holds over much longer periods.
	probeBurstPeriod = 20 * time.Second
	// probeStartPeriod is the period whose probes a new process can use at once. Each start
	// grants them again: a start knows no target, and the fleet's rate holds over a day.
	probeStartPeriod = probeBurstPeriod
)

// Probes grants probes at an instance's share of the fleet's rate.
type Probes struct {
	// saved is the period whose probes were saved up at refilled. It is kept as a time, so
	// that what a start has saved up shrinks and grows with the share, as more of the fleet
	// becomes known.
	saved    time.Duration
	refilled time.Time
}

// Take grants up to n probes and returns the number granted. rate is the number
// of probes per second that the whole fleet may send to all targets together;
// fleet is the number of instances that share the rate.
func (p *Probes) Take(n int, rate float64, fleet int, now time.Time) int {
	if p.refilled.IsZero() {
		p.saved = probeStartPeriod
	} else {
		p.saved = min(probeBurstPeriod, p.saved+now.Sub(p.refilled))
	}
	p.refilled = now
	share := probeSafetyFactor * rate / float64(max(fleet, 1))
	granted := min(n, int(share*p.saved.Seconds()))
	if granted > 0 {
		p.saved -= time.Duration(float64(granted) / share * float64(time.Second))
	}
	return granted
}
