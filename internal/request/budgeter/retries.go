package budgeter

import "time"

const (
	// windowBuckets is the number of buckets in a window.
	windowBuckets = 20
	// ratioSafetyFactor is the fraction of the ratio that is used. An attempt near
	// the end of a window can arrive after the requests that it is counted against
	// have left the window.
	ratioSafetyFactor = 0.9
	// allowanceSafetyFactor is the fraction of the allowance that is used. The rest
	// covers instances that this instance does not know.
	allowanceSafetyFactor = 0.5
	// startRatioFactor replaces ratioSafetyFactor in the first window after a start. The
	// previous process of the instance can have used all that a window of requests had earned
	// right before it ended. Together they stay within the ratio, however often the instance
	// starts within a window.
	startRatioFactor = 1 - ratioSafetyFactor
	// startAllowanceFactor replaces allowanceSafetyFactor in the first window after a start. That
	// part of the allowance comes by and by, so that starts in series get no more of it than
	// one process, and is within what allowanceSafetyFactor leaves to others.
	startAllowanceFactor = 0.3
	// urgentShare is the fraction of the attempts that is kept for the more urgent
	// requests while there are some.
	urgentShare = 0.5
	// returnedShare is the fraction of the attempts that is kept for requests of clients that
	// return after a rejection, while there are some.
	returnedShare = 0.8
)

// Retries grants attempts beyond the first for the requests of one service. In any
// window it grants at most Ratio times the window's requests plus this instance's
// share of the fleet's allowance; in the first window after a start a small part of that,
// because nothing is known of the attempts of the previous process. While requests of
// several priorities arrive, it keeps urgentShare of these attempts for the more urgent
// ones: when all targets reject a part of their requests, the budget does not last for all.
type Retries struct {
	// Ratio is the maximum number of additional attempts per request.
	Ratio float64
	// Allowance is the maximum number of additional attempts per window that the
	// whole fleet may send regardless of the number of requests.
	Allowance float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Rounding is added before the number of attempts is rounded down; it is in [0, 1).
	// Among hundreds of instances the share of each is a few attempts, and the fractions
	// are a large part of the budget. Each instance draws its Rounding at random, so that
	// the fractions add up over the fleet.
	Rounding float64

	// Started is when the process started. If it is zero, the first call counts as the start.
	Started time.Time

	// start is Started or the time of the first call; zero before that.
	start time.Time
	// usage holds the requests and attempts of each priority.
	usage map[int]*usage
	// returned holds those of clients that return after a rejection.
	returned usage
}

// usage counts the requests of one priority and the attempts granted to them.
type usage struct{ requests, attempts bucketCounts }

func (r *Retries) usageOf(priority int) *usage {
	u := r.usage[priority]
	if u == nil {
		u = &usage{}
		if r.usage == nil {
			r.usage = map[int]*usage{}
		}
		r.usage[priority] = u
	}
	return u
}

// RecordRequest counts one client request of a priority; 0 is the most urgent.
func (r *Retries) RecordRequest(priority int, now time.Time) {
	r.usageOf(priority).requests.add(r.bucket(now), 1)
}

// ForgetRequest takes back the count of one client request that another instance serves.
func (r *Retries) ForgetRequest(priority int, now time.Time) {
	r.usageOf(priority).requests.add(r.bucket(now), -1)
}

// Take takes one additional attempt for a request of a priority from the budget and
// reports whether there was one. fleet is the number of instances that share the
// allowance.
func (r *Retries) Take(priority int, now time.Time, fleet int) bool {
	if r.Remaining(priority, now, fleet) < 1 {
		return false
	}
	r.usageOf(priority).attempts.add(r.bucket(now), 1)
	return true
}

// RecordReturn counts a client request that RecordRequest counts too, of a client that returns
// after a rejection.
func (r *Retries) RecordReturn(now time.Time) { r.returned.requests.add(r.bucket(now), 1) }

// TakeAfterShed takes an attempt for a request that a target has shed. It answers targets that
// all shed more requests than the budget can repeat. A client that has not been rejected yet
// may return, with another first attempt; one that has returned will not. So the same attempt
// is worth more to the latter, and returnedShare is kept for them while there are some.
func (r *Retries) TakeAfterShed(priority int, returned bool, now time.Time, fleet int) bool {
	if returned {
		taken := r.Take(priority, now, fleet)
		if taken {
			r.returned.attempts.add(r.bucket(now), 1)
		}
		return taken
	}
	if r.Remaining(priority, now, fleet) < 1+r.keptForReturned(now, fleet) {
		return false
	}
	return r.Take(priority, now, fleet)
}

// keptForReturned returns the number of attempts that are kept for clients that return.
func (r *Retries) keptForReturned(now time.Time, fleet int) int {
	bucket := r.bucket(now)
	if r.returned.requests.sum(bucket, windowBuckets) == 0 {
		return 0
	}
	requests := 0.0
	for _, u := range r.usage {
		requests += u.requests.sum(bucket, windowBuckets)
	}
	used := r.returned.attempts.sum(bucket, windowBuckets+1)
	return int(max(returnedShare*r.limit(requests, now, fleet)-used, 0))
}

// limit returns the number of attempts in a window with a number of requests.
func (r *Retries) limit(requests float64, now time.Time, fleet int) float64 {
	ratioFactor, allowanceFactor := ratioSafetyFactor, allowanceSafetyFactor
	if age := now.Sub(r.start); age < r.Window {
		ratioFactor, allowanceFactor = startRatioFactor, startAllowanceFactor*age.Seconds()/r.Window.Seconds()
	}
	return ratioFactor*r.Ratio*requests + allowanceFactor*r.Allowance/float64(max(fleet, 1))
}

// Remaining returns the number of additional attempts that Take would grant now to
// requests of a priority.
func (r *Retries) Remaining(priority int, now time.Time, fleet int) int {
	bucket := r.bucket(now)
	requests, used, urgentRequests, urgentUsed := 0.0, 0.0, 0.0, 0.0
	for p, u := range r.usage {
		// The window begins inside the oldest bucket. Count all attempts of that bucket,
		// and none of its requests, which may be older than the window.
		q, a := u.requests.sum(bucket, windowBuckets), u.attempts.sum(bucket, windowBuckets+1)
		requests, used = requests+q, used+a
		if p < priority {
			urgentRequests, urgentUsed = urgentRequests+q, urgentUsed+a
		}
	}
	limit := r.limit(requests, now, fleet)
	if urgentRequests > 0 {
		limit -= max(urgentShare*limit-urgentUsed, 0)
	}
	return max(int(limit-used+r.Rounding), 0)
}

// bucket returns the number of the bucket of a time, counted from the start.
func (r *Retries) bucket(now time.Time) int64 {
	if r.start.IsZero() {
		r.start = now
		if !r.Started.IsZero() {
			r.start = r.Started
		}
	}
	return int64(now.Sub(r.start) / (r.Window / windowBuckets))
}

// bucketCounts holds the counts of the newest buckets, in a ring.
type bucketCounts struct {
	counts [windowBuckets + 1]float64
	// latest is the newest bucket. The other elements of counts belong to the
	// buckets before it.
	latest int64
}

// advance makes a bucket the newest one and clears the buckets that are too old.
func (c *bucketCounts) advance(bucket int64) {
	for b := max(c.latest+1, bucket-windowBuckets); b <= bucket; b++ {
		c.counts[b%int64(len(c.counts))] = 0
	}
	c.latest = max(c.latest, bucket)
}

func (c *bucketCounts) add(bucket int64, n float64) {
	c.advance(bucket)
	c.counts[c.latest%int64(len(c.counts))] += n
}

// sum returns the total of the newest n buckets.
func (c *bucketCounts) sum(bucket int64, n int) float64 {
	c.advance(bucket)
	total := 0.0
	for i := range int64(n) {
		if c.latest-i >= 0 {
			total += c.counts[(c.latest-i)%int64(len(c.counts))]
		}
	}
	return total
}
