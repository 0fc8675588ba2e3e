package queuer

import (
	"math"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// grantsBeforeQueued counts the grants before a ticket of priority Queued is
// granted while an urgent and a normal ticket arrive and one ticket is granted
// every millisecond. It returns at most bound.
func grantsBeforeQueued(q *Queue, bound int) int {
	now := time.Unix(0, 0)
	push := func(p resolver.Priority) *Ticket {
		t := &Ticket{Priority: p, Arrived: now, Expires: now.Add(time.Hour)}
		q.Push(t)
		return t
	}
	queued := push(resolver.Queued)
	for n := range bound {
		push(resolver.Urgent)
		push(resolver.Normal)
		now = now.Add(time.Millisecond)
		if q.Grant(now, 4, func(*Ticket, bool) bool { return true }) == queued {
			return n
		}
	}
	return bound
}

// TestNoStarvation guards against a queue that grants by priority alone: urgent
// tickets that keep arriving would then starve the others. It also runs such a
// queue to check that it detects the fault.
func TestNoStarvation(t *testing.T) {
	// One grant per millisecond until the ticket is aged, then at most two intervals.
	const bound = int(maxAgingDelay/time.Millisecond) + 2*agedGrantInterval
	if n := grantsBeforeQueued(&Queue{Capacity: 1 << 16}, bound); n >= bound {
		t.Errorf("a ticket of priority Queued was not granted within %d grants", n)
	}
	if n := grantsBeforeQueued(&Queue{Capacity: 1 << 16, agedInterval: math.MaxInt}, bound); n < bound {
		t.Errorf("a queue without aging granted the ticket after %d grants; the test must detect such a queue", n)
	}
}

// TestGrantRateExpectedTime checks the expected time before and after grants. It guards
// against counting a pause in which no request waits as slow service.
func TestGrantRateExpectedTime(t *testing.T) {
	r, now := GrantRate{}, time.Unix(0, 0)
	if got := r.ExpectedTime(4, 1000); got != 4*time.Millisecond {
		t.Errorf("expected time of 4 grants at an assumed rate of 1000/s: got %v, want 4ms", got)
	}
	for range 20 {
		r.RecordGrant(now, true)
		now = now.Add(2 * time.Millisecond)
	}
	r.RecordGrant(now, false)
	r.RecordGrant(now.Add(time.Hour), true)
	if got := r.ExpectedTime(10, 1000); got != 20*time.Millisecond {
		t.Errorf("expected time of 10 grants after a grant every 2 ms and an idle hour: got %v, want 20ms", got)
	}
}

// TestConnectionShare checks that the limits of all instances together stay within
// a target's connections. It does so for a fleet of owners and for a fleet of other
// instances, so that the limits also hold while both use the target at once.
func TestConnectionShare(t *testing.T) {
	for fleet := 1; fleet < 40; fleet++ {
		for connections := 1; connections < 300; connections += 7 {
			p := &resolver.Policy{Slots: 4, Spare: 3, Connections: connections, Fleet: fleet}
			for _, owned := range []bool{true, false} {
				if all := fleet * OutstandingLimit(p, owned, 0); all > connections {
					t.Fatalf("%d instances may open %d connections; the target allows %d", fleet, all, connections)
				}
			}
		}
	}
}
