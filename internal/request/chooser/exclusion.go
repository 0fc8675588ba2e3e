package chooser

import (
	"math"
	"slices"
	"time"
)

// Exclusion is the reason that keeps a request from a target.
type Exclusion int

// The exclusions.
const (
	// NotExcluded means that the target may take the request.
	NotExcluded Exclusion = iota
	// Full means that the limit of outstanding requests is reached.
	Full
	// AlreadyTried means that an earlier attempt of the request went to the target.
	AlreadyTried
	// Draining means that the target reported that it drains.
	Draining
	// Ejected means that the target failed too often in a row.
	Ejected
	// OnTrial means that the one trial request after an ejection is outstanding.
	OnTrial
	// NoFreeSlot means that the target has another owner and is not known to have
	// a free slot.
	NoFreeSlot
	// Starting means that the target has not reached its full share of requests.
	Starting
	// TooSlow means that the slowdown of the target exceeds Query.MaxSlowdown.
	TooSlow
	// NoConnection means that this instance's share of the target's connections is
	// zero.
	NoConnection
)

var exclusionNames = [...]string{
	"open", "full", "excluded", "draining", "ejected", "on trial", "busy for others", "starting", "slow", "no connection",
}

// String returns the exclusion in words.
func (e Exclusion) String() string { return exclusionNames[e] }

// exclusion returns what keeps a request from a candidate now.
func (s *Set) exclusion(c *Candidate, q *Query, at int64) Exclusion {
	limit, full := s.limit(c, q, at)
	if c.Target.Outstanding() >= limit {
		return full
	}
	if slices.Contains(q.Exclude, c.Target.Address) {
		return AlreadyTried
	}
	if q.MaxSlowdown > 0 {
		if slowdown, _ := c.Target.slowdown(at); slowdown > q.MaxSlowdown {
			return TooSlow
		}
	}
	return NotExcluded
}

// limit returns how many requests a candidate may have outstanding, and the
// exclusion that applies when the limit is reached.
func (s *Set) limit(c *Candidate, q *Query, at int64) (limit int, full Exclusion) {
	t := c.Target
	switch {
	case c.Limit <= 0:
		return 0, NoConnection
	case t.draining.Load():
		return 0, Draining
	case s.ejectionAllowed.Load() && t.failing():
		if t.ejectedUntil.Load() > at {
			return 0, Ejected
		}
		// After the ejection one trial request at a time is allowed.
		return 1, OnTrial
	case !c.Owned:
		return s.borrowLimit(c, at), NoFreeSlot
	}
	limit = c.Limit
	if q.NoSpare {
		limit = min(limit, s.Slots)
	}
	share := s.rampShare(c, at)
	if share >= 1 {
		return limit, Full
	}
	if !q.allowStarting && q.skipsStarting(share) {
		return 0, Starting
	}
	return max(1, int(share*float64(limit))), Starting
}

// rampShare returns the share of its limit that a started target may use now. It
// grows to 1 over the ramp.
func (s *Set) rampShare(c *Candidate, at int64) float64 {
	if s.Ramp <= 0 {
		return 1
	}
	share := float64(at-c.sinceTicks) / float64(s.Ramp)
	if c.Warming {
		share = min(share, maxWarmingShare)
	}
	return max(minRampShare, share)
}

// Bounds of the share of its limit that a starting target may use.
const (
	// minRampShare lets a target take requests from its start on.
	minRampShare = 0.1
	// maxWarmingShare bounds the share of a target that reports that it is still
	// starting.
	maxWarmingShare = 0.5
)

// rampRandomBits is how many of the highest bits of Query.Random decide whether a
// starting target takes part in a choice. The remainder of the whole number picks
// the candidate at which the search begins.
const rampRandomBits = 16

// skipsStarting reports whether the choice leaves out a starting target with the
// given share. The random number decides, so that the target takes part in that
// share of the choices.
func (q *Query) skipsStarting(share float64) bool {
	return float64(q.Random>>(64-rampRandomBits)) >= share*(1<<rampRandomBits)
}

// freshReportAge is the greatest age of a report from which a borrowing instance
// takes the number of free slots. An older report says little about the slots that
// the owners use now.
const freshReportAge = 100 * time.Millisecond

// borrowLimit returns how many requests this instance may have outstanding at a
// target of other owners: the number of slots that are free according to a fresh
// report. Without a fresh report it is one request, whose response brings a
// report. Callers do not spread evenly over the homes of a service, so an owner
// whose own targets are full needs the free slots of other owners.
func (s *Set) borrowLimit(c *Candidate, at int64) int {
	t := c.Target
	if t.report.Load() == nil || at-t.reportedAt.Load() > int64(freshReportAge) {
		return min(1, c.Limit)
	}
	free := s.Slots - int(math.Ceil(math.Float64frombits(t.reportedExternalLoad.Load())))
	return max(0, min(free, c.Limit))
}
