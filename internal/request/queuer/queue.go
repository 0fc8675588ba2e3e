package queuer

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Cause is the reason why a request was rejected. A rejected request was not
// executed.
type Cause int

// The causes of a rejection.
const (
	// NoTarget means that the service has no usable target.
	NoTarget Cause = iota + 1
	// Full means that the queue was full.
	Full
	// Displaced means that a more urgent request took the place in the queue.
	Displaced
	// WaitExpired means that the request waited as long as its kind may.
	WaitExpired
	// DeadlineUnreachable means that the request's deadline cannot be met.
	DeadlineUnreachable
	// Withdrawn means that the caller canceled the request.
	Withdrawn
)

var causeNames = map[Cause]string{
	NoTarget: "no usable target", Full: "queue full", Displaced: "displaced by a more urgent request",
	WaitExpired: "waited too long", DeadlineUnreachable: "deadline cannot be met", Withdrawn: "withdrawn by the caller",
}

// MarshalText returns the text of the cause.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText parses the text that MarshalText returns.
func (c *Cause) UnmarshalText(text []byte) error {
	for cause, name := range causeNames {
		if name == string(text) {
			*c = cause
			return nil
		}
	}
	return trace.BadParameter("unknown rejection cause %q, want a text that Cause.MarshalText returns", text)
}

// String returns the text of the cause.
func (c Cause) String() string { return causeNames[c] }

// Ticket represents a waiting request.
type Ticket struct {
	Priority resolver.Priority
	// Arrived is the time of the Push.
	Arrived time.Time
	// Expires is when the request stops waiting. Cause is the cause of its
	// rejection if it has not been granted by then.
	Expires time.Time
	Cause   Cause
	// Value holds data of the queue's user.
	Value any

	waiting    bool
	prev, next *Ticket
	// heapIndex is the ticket's index in Queue.byExpiry.
	heapIndex int
}

// Waiting reports whether the ticket is in the queue.
func (t *Ticket) Waiting() bool { return t.waiting }

const (
	priorities = int(resolver.Queued) + 1
	// One of every agedGrantInterval grants goes to an aged ticket.
	agedGrantInterval = 16
	// maxAgingDelay bounds the wait after which a ticket is aged.
	maxAgingDelay = time.Second
)

// aged reports whether a ticket has waited for maxAgingDelay or for half of the
// time from its arrival to its expiry, whichever is shorter.
func (t *Ticket) aged(now time.Time) bool {
	return now.Sub(t.Arrived) >= min(maxAgingDelay, t.Expires.Sub(t.Arrived)/2)
}

// Queue orders tickets by priority, and by arrival within a priority. One of every
// agedGrantInterval grants goes to the oldest aged ticket below the highest
// priority, so that no ticket starves while grants go on.
type Queue struct {
	// Capacity is the maximum number of waiting tickets.
	Capacity int

	lists [priorities]ticketList
	// byExpiry holds the waiting tickets; the one that expires first comes first.
	byExpiry expiryHeap
	// grantsSinceAged counts the grants since the last grant to an aged ticket.
	grantsSinceAged int
	// agedInterval replaces agedGrantInterval unless it is 0. Only tests set it.
	agedInterval int
	grantRate    GrantRate
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return len(q.byExpiry) }

// Push adds a ticket. When the queue is full, Push displaces the youngest ticket
// of the lowest priority below the priority of the new ticket. If there is no such
// ticket, ok is false.
func (q *Queue) Push(t *Ticket) (displaced *Ticket, ok bool) {
	if q.Len() >= q.Capacity {
		if displaced = q.displaceable(t.Priority); displaced == nil {
			return nil, false
		}
		q.Remove(displaced)
	}
	q.lists[t.Priority].append(t)
	t.waiting = true
	heap.Push(&q.byExpiry, t)
	return displaced, true
}

// displaceable returns the youngest ticket of the lowest priority below p, or nil.
func (q *Queue) displaceable(p resolver.Priority) *Ticket {
	for lower := priorities - 1; lower > int(p); lower-- {
		if last := q.lists[lower].last; last != nil {
			return last
		}
	}
	return nil
}

// Remove removes a waiting ticket and reports whether the ticket was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	if !t.waiting {
		return false
	}
	q.lists[t.Priority].remove(t)
	t.waiting = false
	heap.Remove(&q.byExpiry, t.heapIndex)
	return true
}

// Ahead returns how many tickets precede a new ticket of priority p.
func (q *Queue) Ahead(p resolver.Priority) int {
	n := 0
	for i := 0; i <= int(p); i++ {
		n += q.lists[i].length
	}
	return n
}

// PopExpired removes and returns an expired ticket, or returns nil if there is none.
func (q *Queue) PopExpired(now time.Time) *Ticket {
	if q.Len() == 0 || now.Before(q.byExpiry[0].Expires) {
		return nil
	}
	t := q.byExpiry[0]
	q.Remove(t)
	return t
}

// Grant calls try for up to depth waiting tickets in order. try reports whether it
// found a free slot for the ticket. Grant removes and returns the first ticket for
// which try returns true, or returns nil.
//
// When agedGrantInterval-1 grants have passed since the last grant to an aged
// ticket, Grant first calls try with aged set for the oldest aged ticket below the
// highest priority. Each later Grant does so too until such a ticket is granted.
func (q *Queue) Grant(now time.Time, depth int, try func(t *Ticket, aged bool) bool) *Ticket {
	if q.grantsSinceAged >= cmp.Or(q.agedInterval, agedGrantInterval)-1 {
		if t := q.oldestAged(now); t != nil && try(t, true) {
			return q.granted(t, true, now)
		}
	}
	for i := range q.lists {
		for t := q.lists[i].first; t != nil && depth > 0; t = t.next {
			if depth--; try(t, false) {
				return q.granted(t, false, now)
			}
		}
	}
	return nil
}

// granted removes a granted ticket and records the grant.
func (q *Queue) granted(t *Ticket, aged bool, now time.Time) *Ticket {
	q.Remove(t)
	q.grantRate.RecordGrant(now, q.Len() > 0)
	q.grantsSinceAged++
	if aged {
		q.grantsSinceAged = 0
	}
	return t
}

// oldestAged returns the aged ticket that has waited longest, without tickets of the
// highest priority, or nil.
func (q *Queue) oldestAged(now time.Time) *Ticket {
	var found *Ticket
	for i := 1; i < priorities; i++ {
		t := q.lists[i].first
		if t == nil || !t.aged(now) {
			continue
		}
		if found == nil || t.Arrived.Before(found.Arrived) {
			found = t
		}
	}
	return found
}

// ExpectedWait returns how long it takes to grant n tickets. assumed is the rate in
// grants per second that the targets should reach. It is used while no rate of
// grants is known; 0 means that it is unknown too.
func (q *Queue) ExpectedWait(n int, assumed float64) time.Duration {
	return q.grantRate.ExpectedTime(n, assumed)
}
