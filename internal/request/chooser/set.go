package chooser

import (
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
	// only borrow the slots that it reports to be free.
	Owned bool
	// Foreign tells that the target is in another availability zone.
	Foreign bool
	// Since is when the target's present run was first seen; zero when it may have
	// been running for long.
	Since time.Time
	// Warming tells that the target says it is still starting.
	Warming bool

	// since is Since in ticks; it may lie before the origin.
	since int64
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
	for i := range candidates {
		candidates[i].since = never
		if since := candidates[i].Since; !since.IsZero() {
			candidates[i].since = int64(since.Sub(origin))
		}
	}
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
	// Reserved keeps the request out of the room beyond a target's slots.
	Reserved bool
	// Normal is the normal latency of the request's kind, 0 when not known.
	Normal time.Duration
	// Random decides which part of a large Set is looked at, and whether a
	// starting target takes part.
	Random uint64

	// starting lets starting targets take part in any case, since no other has
	// room.
	starting bool
}

// Pick takes room for one request at the best target that has any. The mark is
// handed to Target.End when the request is over. ok is false when no target
// has room.
func (s *Set) Pick(q Query, now time.Time) (c *Candidate, mark Mark, ok bool) {
	at := s.ticks(now)
	for {
		best := s.best(&q, at)
		if best < 0 && q.starting {
			return nil, Mark{}, false
		}
		if best < 0 {
			q.starting = true
			continue
		}
		c := &s.Candidates[best]
		limit, _ := s.room(c, &q, at)
		if mark, ok := c.Target.Begin(limit, s.Slots, q.Normal, now); ok {
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
			if s.bar(c, q, at) == Open {
				if score := s.score(c, at, 0).Score; found < 0 || score < lowest {
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

// Usable tells whether some target other than the excluded ones may take requests
// at all.
func (s *Set) Usable(exclude []netip.AddrPort) bool {
	return slices.ContainsFunc(s.Candidates, func(c Candidate) bool {
		return c.Limit > 0 && !c.Target.Closed() && !slices.Contains(exclude, c.Target.Address)
	})
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
