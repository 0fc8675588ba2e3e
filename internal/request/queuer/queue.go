package queuer

import (
	"time"

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
	// Overdue means that the request waited as long as its kind may.
	Overdue
	// Late means that the request's deadline cannot be met.
	Late
	// Withdrawn means that the caller gave up.
	Withdrawn
)

var causeNames = map[Cause]string{
	NoTarget: "no usable target", Full: "queue full", Displaced: "displaced by a more urgent request",
	Overdue: "waited too long", Late: "deadline cannot be met", Withdrawn: "withdrawn by the caller",
}

// String returns the cause in words.
func (c Cause) String() string { return causeNames[c] }

// Ticket is a request that waits.
type Ticket struct {
	// Priority orders tickets.
	Priority resolver.Priority
	// Arrived is when the ticket was pushed.
	Arrived time.Time
	// Until is when the request stops waiting and Cause the cause of its refusal
	// then.
	Until time.Time
	Cause Cause
	// Value is the owner's own data.
	Value any

	waiting    bool
	prev, next *Ticket
}

// Waiting tells whether the ticket is in the queue.
func (t *Ticket) Waiting() bool { return t.waiting }

const (
	priorities = int(resolver.Queued) + 1
	// turn is the number of grants of which one goes to an aged ticket.
	turn = 8
	// agedAfter is the time after which a ticket of a lower priority has a claim
	// to a grant of each turn.
	agedAfter = 100 * time.Millisecond
)

// Queue orders tickets by priority, and by arrival within a priority. One grant
// of each turn goes to the longest waiting aged ticket of a lower priority, so
// that none starves while grants go on.
type Queue struct {
	// Capacity bounds the tickets.
	Capacity int

	lists  [priorities]list
	length int
	// grants counts the grants since an aged ticket had its turn.
	grants int
	drain  Drain
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return q.length }

// Push adds a ticket. When the queue is full, the youngest ticket of the lowest
// priority below the new one is displaced; if there is none, ok is false.
func (q *Queue) Push(t *Ticket) (displaced *Ticket, ok bool) {
	if q.length >= q.Capacity {
		if displaced = q.displaceable(t.Priority); displaced == nil {
			return nil, false
		}
		q.Remove(displaced)
	}
	q.lists[t.Priority].append(t)
	t.waiting = true
	q.length++
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
	q.length--
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

// Overdue removes and returns the next ticket whose time is over, or nil.
func (q *Queue) Overdue(now time.Time) *Ticket {
	for i := range q.lists {
		for t := q.lists[i].first; t != nil; t = t.next {
			if !now.Before(t.Until) {
				q.Remove(t)
				return t
			}
		}
	}
	return nil
}

// Grant offers the waiting tickets in order, up to depth of them, to try, which
// tells whether it found room. The first with room is removed and returned.
func (q *Queue) Grant(now time.Time, depth int, try func(*Ticket) bool) *Ticket {
	if q.grants >= turn-1 {
		if t := q.aged(now); t != nil && try(t) {
			return q.granted(t, true, now)
		}
	}
	for i := range q.lists {
		for t := q.lists[i].first; t != nil && depth > 0; t = t.next {
			if depth--; try(t) {
				return q.granted(t, false, now)
			}
		}
	}
	return nil
}

func (q *Queue) granted(t *Ticket, aged bool, now time.Time) *Ticket {
	q.Remove(t)
	q.drain.Granted(now, q.length > 0)
	q.grants++
	if aged {
		q.grants = 0
	}
	return t
}

// aged returns the longest waiting aged ticket that is not next by priority.
func (q *Queue) aged(now time.Time) *Ticket {
	var oldest *Ticket
	for i := 1; i < priorities; i++ {
		t := q.lists[i].first
		if t == nil || now.Sub(t.Arrived) < agedAfter {
			continue
		}
		if oldest == nil || t.Arrived.Before(oldest.Arrived) {
			oldest = t
		}
	}
	return oldest
}

// Expected returns how long n tickets take to drain, given the rate that the
// targets should reach as long as none was seen.
func (q *Queue) Expected(n int, assumed float64) time.Duration { return q.drain.Expected(n, assumed) }

// Forget is to be called when the queue runs empty other than by a grant.
func (q *Queue) Forget() { q.drain.pause() }

// list is a doubly linked list of tickets.
type list struct {
	first, last *Ticket
	length      int
}

func (l *list) append(t *Ticket) {
	t.prev, t.next = l.last, nil
	if l.last != nil {
		l.last.next = t
	} else {
		l.first = t
	}
	l.last = t
	l.length++
}

func (l *list) remove(t *Ticket) {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		l.first = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		l.last = t.prev
	}
	t.prev, t.next = nil, nil
	l.length--
}
