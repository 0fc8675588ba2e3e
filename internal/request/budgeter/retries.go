package budgeter

import "time"

const (
	// slices is the number of parts that a window is counted in.
	slices = 20
	// ratioSafety is the part of the ratio that is used: attempts near the end of a
	// window may arrive after the requests that pay for them have left it.
	ratioSafety = 0.9
	// allowanceSafety is the part of the allowance that is used: members that are
	// unknown here, and those that have just started, take the rest.
	allowanceSafety = 0.5
	// startSafety is that part in the first window after a start, since the process
	// that ran here before may have used its share: five starts within a window and
	// the share before them stay within the allowance.
	startSafety = 0.1
)

// Retries grants attempts beyond the first at one service within any window of a given length:
// a ratio of the window's requests, and a share of the fleet's allowance.
type Retries struct {
	// Ratio is the number of additional attempts per request.
	Ratio float64
	// Allowance is the number of additional attempts per window of the whole fleet
	// that needs no requests.
	Allowance float64
	// Window is the length of the sliding window.
	Window time.Duration

	start    time.Time
	requests counts
	attempts counts
}

// Request counts one client request.
func (r *Retries) Request(now time.Time) { r.requests.add(r.slot(now), 1) }

// Take grants one more attempt while fleet instances share the allowance.
func (r *Retries) Take(now time.Time, fleet int) bool {
	if r.Remaining(now, fleet) < 1 {
		return false
	}
	r.attempts.add(r.slot(now), 1)
	return true
}

// Remaining returns the number of attempts that would be granted now.
func (r *Retries) Remaining(now time.Time, fleet int) int {
	slot := r.slot(now)
	// The part of a slice that has passed is not known: count one slice more.
	used := r.attempts.sum(slot, slices+1)
	// Requests of the running slice may have come after the attempt's window.
	earned := r.requests.sum(slot, slices)
	part := allowanceSafety
	if now.Sub(r.start) < r.Window {
		part = startSafety
	}
	limit := ratioSafety*r.Ratio*earned + part*r.Allowance/float64(max(fleet, 1))
	return max(int(limit-used), 0)
}

func (r *Retries) slot(now time.Time) int64 {
	if r.start.IsZero() {
		r.start = now
	}
	return int64(now.Sub(r.start) / (r.Window / slices))
}

// counts holds the numbers of the newest slices.
type counts struct {
	number [slices + 1]float64
	// slot is the slice that number was last added to; each other entry belongs to
	// one of the slices before it.
	slot int64
}

// advance clears the slices that are out of date.
func (c *counts) advance(slot int64) {
	for s := max(c.slot+1, slot-slices); s <= slot; s++ {
		c.number[s%int64(len(c.number))] = 0
	}
	c.slot = max(c.slot, slot)
}

func (c *counts) add(slot int64, n float64) {
	c.advance(slot)
	c.number[c.slot%int64(len(c.number))] += n
}

// sum returns the total of the newest n slices.
func (c *counts) sum(slot int64, n int) float64 {
	c.advance(slot)
	total := 0.0
	for i := range int64(n) {
		if c.slot-i >= 0 {
			total += c.number[(c.slot-i)%int64(len(c.number))]
		}
	}
	return total
}
