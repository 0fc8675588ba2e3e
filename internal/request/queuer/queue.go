package queuer

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Cause tells why a request was refused. A refused request was not run.
type Cause int

// The causes of a refusal.
const (
	// NoTarget means that the service has no usable target.
	NoTarget Cause = iota + 1
	// Full means that the queue had no place for the request.
	Full
	// Displaced means that a more urgent request took the place.
	Displaced
	// WaitExpired means that the request waited as long as its kind may.
	WaitExpired
	// DeadlineUnreachable means that the request's deadline cannot be met.
	DeadlineUnreachable
	// Withdrawn means that the caller gave up.
	Withdrawn
)

var causeNames = map[Cause]string{
	NoTarget: "no usable target", Full: "queue full", Displaced: "displaced by a more urgent request",
	WaitExpired: "waited too long", DeadlineUnreachable: "deadline cannot be met", Withdrawn: "withdrawn by the caller",
}

// MarshalText writes the cause in words.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads what MarshalText has written.
func (c *Cause) UnmarshalText(text []byte) error {
	for cause, name := range causeNames {
		if name == string(text) {
			*c = cause
			return nil
		}
	}
	return trace.BadParameter("%q is no cause of a refusal", text)
}

// String returns the cause in words.
func (c Cause) String() string { return causeNames[c] }

// Ticket is a request that waits.
type Ticket struct {
	// Priority orders tickets.
	Priority resolver.Priority
	// Arrived is when the ticket was pushed.
	Arrived time.Time
	// Expires is when the request stops waiting and Cause the cause of its refusal
	// then.
	Expires time.Time
	Cause   Cause
	// Value is the owner's own data.
	Value any

	waiting    bool
	prev, next *Ticket
	// place is the ticket's index in the order of Until.
	place int
}

// Waiting tells whether the ticket is in the queue.
func (t *Ticket) Waiting() bool { return t.waiting }

const (
	priorities = int(resolver.Queued) + 1
	// grantsPerTurn is the number of grants of which one goes to an aged ticket.
	grantsPerTurn = 16
	// longestAging bounds the time after which a ticket is aged.
	longestAging = time.Second
)

// aged tells whether a ticket has waited half of its time, which gives it a
// claim to one grant of each turn.
func (t *Ticket) aged(now time.Time) bool {
	return now.Sub(t.Arrived) >= min(longestAging, t.Expires.Sub(t.Arrived)/2)
}

// Queue orders tickets by priority, and by arrival within a priority. One grant
// of each turn goes to the longest waiting aged ticket of a lower priority, so
// that none starves while grants go on.
type Queue struct {
	// Capacity bounds the tickets.
	Capacity int

	lists [priorities]list
	// ends holds the waiting tickets, the one with the earliest Until first.
	ends ends
	// grants counts the grants since an aged ticket had its turn.
	grants int
	// turn replaces the grants per turn unless it is 0.
	turn  int
	drain Drain
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return len(q.ends) }

// Push adds a ticket. When the queue is full, the youngest ticket of the lowest
// priority below the new one is displaced; if there is none, ok is false.
func (q *Queue) Push(t *Ticket) (displaced *Ticket, ok bool) {
	if q.Len() >= q.Capacity {
		if displaced = q.displaceable(t.Priority); displaced == nil {
			return nil, false
		}
		q.Remove(displaced)
	}
	q.lists[t.Priority].append(t)
	t.waiting = true
	heap.Push(&q.ends, t)
	return displaced, true
}

func (q *Queue) displaceable(p resolver.Priority) *Ticket {
	for lower := priorities - 1; lower > int(p); lower-- {
		if last := q.lists[lower].last; last != nil {
			return last
		}
	}
	return nil
}

// Remove takes a waiting ticket out; it tells whether the ticket was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	if !t.waiting {
		return false
	}
	q.lists[t.Priority].remove(t)
	t.waiting = false
	heap.Remove(&q.ends, t.place)
	return true
}

// Ahead returns how many tickets precede a new one of the priority.
func (q *Queue) Ahead(p resolver.Priority) int {
	n := 0
	for i := 0; i <= int(p); i++ {
		n += q.lists[i].length
	}
	return n
}

// PopExpired removes and returns the next ticket whose time is over, or nil.
func (q *Queue) PopExpired(now time.Time) *Ticket {
	if q.Len() == 0 || now.Before(q.ends[0].Expires) {
		return nil
	}
	t := q.ends[0]
	q.Remove(t)
	return t
}

// Grant offers the waiting tickets in order, up to depth of them, to try, which
// tells whether it found room and is told
// whether it is an aged ticket's turn. The first with room is removed and returned.
func (q *Queue) Grant(now time.Time, depth int, try func(t *Ticket, aged bool) bool) *Ticket {
	if q.grants >= cmp.Or(q.turn, grantsPerTurn)-1 {
		if t := q.oldest(now); t != nil && try(t, true) {
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

func (q *Queue) granted(t *Ticket, aged bool, now time.Time) *Ticket {
	q.Remove(t)
	q.drain.Granted(now, q.Len() > 0)
	q.grants++
	if aged {
		q.grants = 0
	}
	return t
}

// oldest returns the longest waiting aged ticket of a lower priority.
func (q *Queue) oldest(now time.Time) *Ticket {
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

// ExpectedWait returns how long n tickets take to drain, given the rate that the
// targets should reach as long as none was seen.
func (q *Queue) ExpectedWait(n int, assumed float64) time.Duration {
	return q.drain.Expected(n, assumed)
}
