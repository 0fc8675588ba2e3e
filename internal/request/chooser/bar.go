package chooser

import (
	"math"
	"slices"
	"time"
)

// Bar tells what keeps a request from a target.
type Bar int

// The bars.
const (
	// Open means that the request may go there.
	Open Bar = iota
	// Full means that as many requests are outstanding as may be.
	Full
	// Excluded means that the request has been there before.
	Excluded
	// Draining means that the target said so.
	Draining
	// Ejected means that the target failed too often in a row.
	Ejected
	// OnTrial means that the one request after an ejection is outstanding.
	OnTrial
	// Busy means that the target belongs to others and is not known to have a free
	// slot.
	Busy
	// Starting means that the target has not reached its full share.
	Starting
	// Slow means that the target is slower than the request accepts.
	Slow
	// Unconnected means that the share of the target's connections is empty.
	Unconnected
)

var barNames = [...]string{
	"open", "full", "excluded", "draining", "ejected", "on trial", "busy for others", "starting", "slow", "no connection",
}

// String returns the bar in words.
func (b Bar) String() string { return barNames[b] }

// bar tells what keeps a request from a candidate now.
func (s *Set) bar(c *Candidate, q *Query, at int64) Bar {
	limit, bar := s.room(c, q, at)
	if c.Target.Outstanding() >= limit {
		return bar
	}
	if slices.Contains(q.Exclude, c.Target.Address) {
		return Excluded
	}
	if q.Slowest > 0 {
		if slowness, _ := c.Target.slowness(at); slowness > q.Slowest {
			return Slow
		}
	}
	return Open
}

// room returns how many requests a candidate may have outstanding, and the bar
// that stands when it has as many.
func (s *Set) room(c *Candidate, q *Query, at int64) (limit int, full Bar) {
	t := c.Target
	switch {
	case c.Limit <= 0:
		return 0, Unconnected
	case t.closed.Load():
		return 0, Draining
	case s.ejecting.Load() && t.failing():
		if t.ejectedUntil.Load() > at {
			return 0, Ejected
		}
		return 1, OnTrial
	case !c.Owned:
		return s.borrowed(c, at), Busy
	}
	limit = c.Limit
	if q.Reserved {
		limit = min(limit, s.Slots)
	}
	share := s.share(c, at)
	if share >= 1 {
		return limit, Full
	}
	if !q.starting && q.excludesStarting(share) {
		return 0, Starting
	}
	return max(1, int(share*float64(limit))), Starting
}

// share returns how far a started target has come along its ramp, up to 1.
func (s *Set) share(c *Candidate, at int64) float64 {
	if s.Ramp <= 0 {
		return 1
	}
	share := float64(at-c.since) / float64(s.Ramp)
	if c.Warming {
		share = min(share, warmingShare)
	}
	return max(leastShare, share)
}

// Bounds of a starting target's share of its room.
const (
	leastShare   = 0.1
	warmingShare = 0.5
)

// randomBits is the width of the random number that decides on shares.
const randomBits = 16

// excludesStarting decides by the random number, so that a starting target
// takes part in a share of the choices.
func (q *Query) excludesStarting(share float64) bool {
	return float64(q.Random>>(64-randomBits)) >= share*(1<<randomBits)
}

// idleAge is the age up to which a report shows a target to be idle.
const idleAge = 100 * time.Millisecond

// borrowed returns the room at a target of other owners: the slots that they
// leave free by a fresh report. Without one it takes one request, whose answer
// brings a report. Callers do not spread evenly over the homes of a service, so an
// owner whose own targets are full has to reach for the others' free slots.
func (s *Set) borrowed(c *Candidate, at int64) int {
	t := c.Target
	if t.report.Load() == nil || at-t.reportedAt.Load() > int64(idleAge) {
		return min(1, c.Limit)
	}
	free := s.Slots - int(math.Ceil(math.Float64frombits(t.external.Load())))
	return max(0, min(free, c.Limit))
}
