package queuer

import "time"

// GrantRate estimates the rate at which waiting requests are granted.
type GrantRate struct {
	// last is the time of the last grant after which requests still waited. It is
	// zero when none waited: the time to the next grant then says nothing about
	// the rate.
	last time.Time
	// interval is the average time between grants; 0 means unknown.
	interval time.Duration
}

const (
	// intervalGain is the weight of the newest interval in the average. Grants come
	// at irregular intervals, and an average that changes fast makes the queue reject
	// requests that could have been served.
	intervalGain = 1.0 / 64
	// maxIntervalRatio bounds one interval to a multiple of the average, so that a
	// short pause of the process does not count as slow service.
	maxIntervalRatio = 4
	// minInterval is the shortest assumed interval, so that the expected time of a
	// grant is never zero.
	minInterval = time.Microsecond
)

// RecordGrant records a grant and whether requests still wait after it.
func (r *GrantRate) RecordGrant(now time.Time, waiting bool) {
	if !r.last.IsZero() {
		interval := now.Sub(r.last)
		if r.interval == 0 {
			r.interval = interval
		}
		interval = min(interval, maxIntervalRatio*r.interval)
		r.interval += time.Duration(intervalGain * float64(interval-r.interval))
	}
	r.forgetLast()
	if waiting {
		r.last = now
	}
}

func (r *GrantRate) forgetLast() { r.last = time.Time{} }

// ExpectedTime returns how long n grants take. assumed is a rate in grants per second
// that is used while no interval is known; 0 means that it is unknown too.
func (r *GrantRate) ExpectedTime(n int, assumed float64) time.Duration {
	interval := r.interval
	if interval == 0 && assumed > 0 {
		interval = time.Duration(float64(time.Second) / assumed)
	}
	return time.Duration(n) * max(minInterval, interval)
}
