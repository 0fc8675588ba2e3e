package chooser

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"
)

// Candidate is a target in one configuration.
type Candidate struct {
	// Target is kept from one configuration to the next.
	Target *Target
	// Limit bounds the outstanding requests of this instance.
	Limit int
	// Owned is true if this instance is an owner of the target; any other instance
	// may only borrow the slots that the target reports to be free.
	Owned bool
	// Remote is true if the target is in another availability zone.
	Remote bool
	// Since is when the target's present run was first seen. It is zero if the run
	// may have started long before.
	Since time.Time
	// Warming is true if the target reports that it is still starting.
	Warming bool

	// sinceTicks is Since in ticks; it may lie before the origin.
	sinceTicks int64
}

// Set holds the targets of one configuration. Its exported fields are not
// modified.
type Set struct {
	Candidates []Candidate
	// Slots is the number of requests that one target runs at a time.
	Slots int
	// Ramp is the time over which a started target reaches its full share.
	Ramp time.Duration

	origin time.Time
	tuning *Tuning
	// hasOwned is true if this instance owns some candidate.
	hasOwned bool
	// ejectionAllowed is true if at least one target fails and the failing ones are
	// at most Tuning.MaxEjectedShare of the candidates.
	ejectionAllowed atomic.Bool
}

// NewSet returns the Set of a configuration. It sets fields of the candidates.
func NewSet(candidates []Candidate, slots int, ramp time.Duration, origin time.Time, tuning *Tuning) *Set {
	s := &Set{Candidates: candidates, Slots: max(1, slots), Ramp: ramp, origin: origin, tuning: tuning}
	for i := range candidates {
		candidates[i].sinceTicks = never
		if since := candidates[i].Since; !since.IsZero() {
			candidates[i].sinceTicks = int64(since.Sub(origin))
		}
	}
	s.hasOwned = slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Owned })
	s.UpdateEjection()
	return s
}

func (s *Set) ticks(now time.Time) int64 { return sinceOrigin(s.origin, now) }

// Query states the requirements of a request on its target.
type Query struct {
	// Exclude lists the targets of earlier attempts of the request.
	Exclude []netip.AddrPort
	// MaxSlowdown is the greatest slowdown of a target that the request accepts; 0
	// accepts any.
	MaxSlowdown float64
	// NoSpare keeps the request out of the capacity beyond a target's slots.
	NoSpare bool
	// NormalLatency is the normal latency of the request's kind, 0 when unknown.
	NormalLatency time.Duration
	// Random decides at which candidate the search begins and whether a starting
	// target takes part.
	Random uint64

	// allowStarting lets every starting target take part because no other target
	// has capacity.
	allowStarting bool
}

// Pick takes capacity for one request at the best target that has any. The
// caller hands the InFlight to Target.End when the request is over. ok is false
// when no target has capacity.
func (s *Set) Pick(q Query, now time.Time) (c *Candidate, inFlight InFlight, ok bool) {
	at := s.ticks(now)
	for {
		best := s.best(&q, at)
		if best < 0 && q.allowStarting {
			return nil, InFlight{}, false
		}
		if best < 0 {
			q.allowStarting = true
			continue
		}
		c := &s.Candidates[best]
		limit, _ := s.limit(c, &q, at)
		if inFlight, ok := c.Target.Begin(limit, s.Slots, q.NormalLatency, now); ok {
			return c, inFlight, true
		}
	}
}

// best returns the index of the candidate with the lowest score among those with
// capacity, or -1. It searches one window after the other and stops at the first
// window in which a candidate has capacity.
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
			if s.exclusion(c, q, at) == NotExcluded {
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

// HasUsable reports whether some target that is not on the given list may take
// requests, now or once it has capacity.
func (s *Set) HasUsable(exclude []netip.AddrPort) bool {
	return slices.ContainsFunc(s.Candidates, func(c Candidate) bool {
		return c.Limit > 0 && !c.Target.Draining() && !slices.Contains(exclude, c.Target.Address)
	})
}

// Capacity returns how many requests this instance may have outstanding at all
// targets together.
func (s *Set) Capacity() int {
	n := 0
	for i := range s.Candidates {
		if !s.Candidates[i].Target.Draining() {
			n += s.Candidates[i].Limit
		}
	}
	return n
}
