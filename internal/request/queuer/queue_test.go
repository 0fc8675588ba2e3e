package queuer

import (
	"math"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// grantsUntil counts the grants before a queued request gets its turn while an
// urgent one arrives every millisecond and one is granted.
func grantsUntil(q *Queue, bound int) int {
	now := time.Unix(0, 0)
	push := func(p resolver.Priority) *Ticket {
		t := &Ticket{Priority: p, Arrived: now, Expires: now.Add(time.Hour)}
		q.Push(t)
		return t
	}
	sync := push(resolver.Queued)
	for n := range bound {
		push(resolver.Urgent)
		push(resolver.Normal)
		now = now.Add(time.Millisecond)
		if q.Grant(now, 4, func(*Ticket, bool) bool { return true }) == sync {
			return n
		}
	}
	return bound
}

// TestNoStarvation fails for a queue that grants by priority alone.
func TestNoStarvation(t *testing.T) {
	const bound = int(longestAging/time.Millisecond) + 2*grantsPerTurn
	if n := grantsUntil(&Queue{Capacity: 1 << 16}, bound); n >= bound {
		t.Errorf("a queued request starved for %d grants", n)
	}
	if n := grantsUntil(&Queue{Capacity: 1 << 16, turn: math.MaxInt}, bound); n < bound {
		t.Errorf("the check accepts a queue without aging: granted after %d", n)
	}
}

// TestDrain compares the time that waiting requests are told with the rate of
// the grants.
func TestDrain(t *testing.T) {
	d, now := Drain{}, time.Unix(0, 0)
	if got := d.Expected(4, 1000); got != 4*time.Millisecond {
		t.Errorf("before any grant: %v", got)
	}
	for range 20 {
		d.Granted(now, true)
		now = now.Add(2 * time.Millisecond)
	}
	d.Granted(now, false)
	d.Granted(now.Add(time.Hour), true)
	if got := d.Expected(10, 1000); got != 20*time.Millisecond {
		t.Errorf("at a grant every 2 ms, with a pause that does not count: %v", got)
	}
}

// TestConnectionShare checks that the whole fleet stays within a target's
// connections, also while owners and borrowers overlap.
func TestConnectionShare(t *testing.T) {
	for fleet := 1; fleet < 40; fleet++ {
		for connections := 1; connections < 300; connections += 7 {
			p := &resolver.Policy{Slots: 4, Spare: 3, Connections: connections, Fleet: fleet}
			for _, owned := range []bool{true, false} {
				if all := fleet * OutstandingLimit(p, owned, 0); all > connections {
					t.Fatalf("%d instances may open %d of %d connections", fleet, all, connections)
				}
			}
		}
	}
}
