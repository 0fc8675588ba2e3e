package syncer

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// Wait is how long the platform holds a waiting call without news, and so the
	// time between two vouchings.
	Wait = time.Second
	// patience is how long after the last vouching the next instance in the order
	// reads by itself: an answer that comes late must not count as none.
	patience = Wait + 300*time.Millisecond
	// step is how much longer each further one waits.
	step = 120 * time.Millisecond
	// stepMost bounds the sum of steps, so that a drain of two seconds is kept.
	stepMost = 600 * time.Millisecond
	// backoffLeast and backoffMost bound the growing time after failed calls.
	backoffLeast = 150 * time.Millisecond
	backoffMost  = 700 * time.Millisecond
	// crowd is the number of instances of a zone, that of the largest zone of a small
	// site, that call a platform that is out of order as often as that. In a larger
	// zone each waits longer, so that the zone calls no more often, and hears of the
	// platform's return as soon.
	crowd = 6
	// backoffLongest bounds the growing time in large zones, for the case that only
	// one instance reaches the platform.
	backoffLongest = 3 * time.Second
)

// Turn decides when an instance reads from the platform. It has no input or
// output and is not safe for concurrent use.
type Turn struct {
	// Random returns a number from 0 up to 1.
	Random func() float64

	// read is when the instance has read for the first time.
	read time.Time
	// vouched holds when each peer vouched last.
	vouched map[netip.AddrPort]time.Time
	// failures counts failed calls in a row; next is when another call may be made.
	failures int
	next     time.Time
}

// Vouched takes in that a peer's copy is current.
func (t *Turn) Vouched(peer netip.AddrPort, now time.Time) {
	if t.vouched == nil {
		t.vouched = map[netip.AddrPort]time.Time{}
	}
	t.vouched[peer] = now
}

// Due reports whether the instance should call now and, if not, when to decide
// again. Before are the live instances of the zone that come before it in the
// order.
func (t *Turn) Due(now time.Time, before []netip.AddrPort) (bool, time.Time) {
	if now.Before(t.next) {
		return false, t.next
	}
	var newest time.Time
	for peer, at := range t.vouched {
		if now.Sub(at) > patience+stepMost {
			delete(t.vouched, peer)
			continue
		}
		if at.After(newest) && slices.Contains(before, peer) {
			newest = at
		}
	}
	// A first read counts like a vouching: after a start of all, only those that come
	// first read on.
	if len(before) > 0 && t.read.After(newest) {
		newest = t.read
	}
	if newest.IsZero() {
		return true, now
	}
	start := newest.Add(patience + min(time.Duration(len(before))*step, stepMost))
	return !now.Before(start), start
}

// Finish takes in how a call of one of some live instances of the zone ended.
func (t *Turn) Finish(failed bool, instances int, now time.Time) {
	if !failed {
		t.failures, t.next = 0, now
		if t.read.IsZero() {
			t.read = now
		}
		return
	}
	delay := min(backoffLeast<<min(t.failures, 4), backoffMost)
	if t.failures > 0 {
		delay = min(delay*time.Duration(max(instances, crowd))/crowd, backoffLongest)
	}
	t.failures++
	t.next = now.Add(time.Duration((0.75 + 0.5*t.Random()) * float64(delay)))
}
