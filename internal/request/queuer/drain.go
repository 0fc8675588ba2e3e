package queuer

import "time"

// Drain learns the rate at which waiting requests are granted.
type Drain struct {
	// last is the last grant after which requests still waited; it is zero when
	// none waited, since the time to the next grant then says nothing.
	last time.Time
	// interval is the average time between grants, 0 when not known.
	interval time.Duration
}

const (
	// drainGain is the weight of one grant in the average. Grants come irregularly,
	// and an average that jumps refuses requests that could have been served.
	drainGain = 1.0 / 64
	// drainBound bounds one interval, in averages, so that a short pause of the
	// process does not count as a slow service.
	drainBound = 4
	// fastest bounds the expected rate.
	fastest = time.Microsecond
)

// Granted records a grant and whether requests still wait.
func (d *Drain) Granted(now time.Time, waiting bool) {
	if !d.last.IsZero() {
		interval := now.Sub(d.last)
		if d.interval == 0 {
			d.interval = interval
		}
		interval = min(interval, drainBound*d.interval)
		d.interval += time.Duration(drainGain * float64(interval-d.interval))
	}
	d.pause()
	if waiting {
		d.last = now
	}
}

func (d *Drain) pause() { d.last = time.Time{} }

// Expected returns how long n grants take; assumed is the rate in grants per
// second as long as none was seen.
func (d *Drain) Expected(n int, assumed float64) time.Duration {
	interval := d.interval
	if interval == 0 && assumed > 0 {
		interval = time.Duration(float64(time.Second) / assumed)
	}
	return time.Duration(n) * max(fastest, interval)
}
