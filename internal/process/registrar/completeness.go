package registrar

import "time"

const (
	// lapseTime is the shortest outage of the store in which entries of live targets expire.
	// They expire after three missed writes, and a live target writes again soon after the
	// store's return. It exceeds the time between two successful calls of a reader that loses
	// one call.
	lapseTime = 1500 * time.Millisecond
	// returnGrace is how long after the store's return entries of live targets may be missing.
	// They are back within about two seconds.
	returnGrace = 2200 * time.Millisecond
	// defaultDrain is Drain if it is unknown.
	defaultDrain = 2 * time.Second
	// removalDelay bounds the time from the removal of an entry until all instances act on it:
	// until the reader's next call, until the list has reached the others, and until the last
	// request that was placed before is sent.
	removalDelay = 600 * time.Millisecond
)

// Completeness decides for how long runs that a reader's lists omit may still be live. After
// an outage of the store, entries of live targets are missing that could not be written
// meanwhile. A reader that alone could not reach the store has missed nothing of the kind: that
// a peer has read from the store since shows that there was no outage.
//
// It is not safe for concurrent use.
type Completeness struct {
	// Drain is how long a target serves after its entry was removed; 0 if unknown.
	Drain time.Duration

	// failing means that the reader's last call failed.
	failing bool
	// returned is when the store's return from its last outage was noticed; zero if there was
	// none.
	returned time.Time
}

// RecordFailure records that a call to the store failed.
func (c *Completeness) RecordFailure() { c.failing = true }

// RecordSuccess records that a call to the store succeeded. current is when this reader, or a
// peer, last had a copy that was known to be current.
func (c *Completeness) RecordSuccess(current, now time.Time) {
	if c.failing && now.Sub(current) >= lapseTime {
		c.returned = now
	}
	c.failing = false
}

// RecordCopy records that the store has returned from a copy of its items, which may lack live
// targets as after an outage.
func (c *Completeness) RecordCopy(now time.Time) { c.returned = now }

// Grace returns how long runs that a list omits may still be live; 0 if the list is
// complete. isListing means that it comes from a listing of the store, and not from changes
// alone: a removal that is seen as a change has just happened, and a target that has left
// ends its work after Drain.
func (c *Completeness) Grace(isListing bool, now time.Time) time.Duration {
	if c.returned.IsZero() {
		return 0
	}
	left := c.returned.Add(returnGrace).Sub(now)
	if !isListing {
		left = min(left, removalGrace(c.Drain))
	}
	return max(left, 0)
}

// removalGrace returns how long an instance may use a run whose entry was just removed, so
// that no request reaches the run after drain.
func removalGrace(drain time.Duration) time.Duration {
	if drain == 0 {
		drain = defaultDrain
	}
	return max(drain-removalDelay, 0)
}
