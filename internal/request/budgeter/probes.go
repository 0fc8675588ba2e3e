package budgeter

import "time"

const (
	// probeSafetyFactor is the fraction of the fleet's rate that is used. The rest
	// covers the probes that instances get at their start.
	probeSafetyFactor = 0.7
	// probeBurstPeriod is the period whose probes can be saved up. Load peaks last
	// for several seconds; the fleet's rate holds over much longer periods.
	probeBurstPeriod = 20 * time.Second
	// probeStartPeriod is the period whose probes a new process can use at once.
	// Each start grants them again.
	probeStartPeriod = 4 * time.Second
)

// Probes grants probes at an instance's share of the fleet's rate.
type Probes struct {
	// tokens is the number of probes saved up at refilled.
	tokens   float64
	refilled time.Time
}

// Take grants up to n probes and returns the number granted. rate is the number
// of probes per second that the whole fleet may send to all targets together;
// fleet is the number of instances that share the rate.
func (p *Probes) Take(n int, rate float64, fleet int, now time.Time) int {
	share := probeSafetyFactor * rate / float64(max(fleet, 1))
	limit := share * probeBurstPeriod.Seconds()
	if p.refilled.IsZero() {
		p.tokens = share * probeStartPeriod.Seconds()
	} else {
		p.tokens = min(limit, p.tokens+share*now.Sub(p.refilled).Seconds())
	}
	p.refilled = now
	granted := min(n, int(p.tokens))
	p.tokens -= float64(granted)
	return granted
}
