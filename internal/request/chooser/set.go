package chooser

import (
	"math"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"
)

// Candidate is a target as one configuration sees it.
type Candidate struct {
	// Target is kept from configuration to configuration.
	Target *Target
	// Limit bounds the outstanding requests of this instance.
	Limit int
	// Owned tells that this instance is an owner of the target; any other may
	// only borrow it while it reports to be idle.
	Owned bool
	// Foreign tells that the target is in another availability zone.
	Foreign bool
	// Since is when the target's present run was first seen; zero when it may have
	// been running for long.
	Since time.Time
	// Warming tells that the target says it is still starting.
	Warming bool
}

// Set is the targets of one configuration. Its fields are not modified.
type Set struct {
	Candidates []Candidate
	// Slots is the number of requests that one target runs at a time.
	Slots int
	// Ramp is the time over which a started target reaches its full share.
	Ramp time.Duration

	origin time.Time
	tuning *Tuning
	// owners tells that some candidate is owned.
	owners bool
	// ejecting tells that some targets fail and few enough to be ejected.
	ejecting atomic.Bool
}

// NewSet returns the Set of a configuration.
func NewSet(candidates []Candidate, slots int, ramp time.Duration, origin time.Time, tuning *Tuning) *Set {
	s := &Set{Candidates: candidates, Slots: max(1, slots), Ramp: ramp, origin: origin, tuning: tuning}
	s.owners = slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Owned })
	s.Recount()
	return s
}

func (s *Set) ticks(now time.Time) int64 { return sinceOrigin(s.origin, now) }

// Query states what a request asks of its target.
type Query struct {
	// Exclude lists targets that have had the request before.
	Exclude []netip.AddrPort
	// Slowest is the greatest slowness that the request accepts; 0 accepts any.
	Slowest float64
	// Free asks for a target with a free slot, not only room below its limit.
	Free bool
	// Normal is the normal latency of the request's kind, 0 when not known.
	Normal time.Duration
	// Random decides which part of a large Set is looked at, and whether a
	// starting target takes part.
	Random uint64
}

// Pick takes room for one request at the best target that has any. The mark is
// handed to Target.End when the request is over. ok is false when no target
// has room.
func (s *Set) Pick(q Query, now time.Time) (c *Candidate, mark int, ok bool) {
	at := s.ticks(now)
	for {
		best := s.best(&q, at)
		if best < 0 {
			return nil, 0, false
		}
		c := &s.Candidates[best]
		if mark, ok := c.Target.Begin(s.room(c, &q, at), q.Normal, now); ok {
			return c, mark, true
		}
	}
}

// best returns the index of the candidate with the lowest score among those
// with room, or -1. It looks at one window after the other until one has room.
func (s *Set) best(q *Query, at int64) int {
	total := len(s.Candidates)
	if total == 0 {
		return -1
	}
	window := total
	if s.tuning.Window > 0 {
		window = min(total, s.tuning.Window)
	}
	index := int(q.Random % uint64(total))
	found, lowest := -1, 0.0
	for seen := 0; seen < total; {
		for end := min(total, seen+window); seen < end; seen++ {
			c := &s.Candidates[index]
			if s.admits(c, q, at) {
				if score := s.score(c, at).Score; found < 0 || score < lowest {
					found, lowest = index, score
				}
			}
			if index++; index == total {
				index = 0
			}
		}
		if found >= 0 {
			return found
		}
	}
	return found
}

// admits tells whether a request may go to a candidate now.
func (s *Set) admits(c *Candidate, q *Query, at int64) bool {
	if c.Target.Outstanding() >= s.room(c, q, at) || slices.Contains(q.Exclude, c.Target.Address) {
		return false
	}
	if q.Slowest > 0 && s.slowness(c.Target, at) > q.Slowest {
		return false
	}
	return !q.Free || float64(c.Target.Outstanding())+c.Target.others(at) < float64(s.Slots)
}

// room returns how many requests a candidate may have outstanding.
func (s *Set) room(c *Candidate, q *Query, at int64) int {
	t := c.Target
	switch {
	case c.Limit <= 0 || t.closed.Load():
		return 0
	case s.ejecting.Load() && t.failing():
		if t.ejectedUntil.Load() > at {
			return 0
		}
		return 1
	case !c.Owned:
		return s.borrowed(c, at)
	}
	share := s.share(c, at)
	if share >= 1 {
		return c.Limit
	}
	if q.excludesStarting(share) {
		return 0
	}
	return max(1, int(share*float64(c.Limit)))
}

// share returns how far a started target has come along its ramp, up to 1.
func (s *Set) share(c *Candidate, at int64) float64 {
	if s.Ramp <= 0 {
		return 1
	}
	share := 1.0
	if !c.Since.IsZero() {
		share = float64(at-s.ticks(c.Since)) / float64(s.Ramp)
	}
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
// leave free by a fresh report. Without one an owner of other targets keeps away,
// and an instance that owns none, as when it stands in for a lost home, tries one.
func (s *Set) borrowed(c *Candidate, at int64) int {
	t := c.Target
	if t.report.Load() == nil || at-t.reportedAt.Load() > int64(idleAge) {
		if s.owners {
			return 0
		}
		return min(1, c.Limit)
	}
	free := s.Slots - int(math.Ceil(math.Float64frombits(t.external.Load())))
	return max(0, min(free, c.Limit))
}

// Usable tells whether some target may take requests at all.
func (s *Set) Usable() bool {
	return slices.ContainsFunc(s.Candidates, func(c Candidate) bool { return c.Limit > 0 && !c.Target.Closed() })
}

// Capacity returns how many requests may be outstanding at all targets.
func (s *Set) Capacity() int {
	n := 0
	for i := range s.Candidates {
		if !s.Candidates[i].Target.Closed() {
			n += s.Candidates[i].Limit
		}
	}
	return n
}
