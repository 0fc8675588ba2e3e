package dispatcher

import (
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/chooser"
)

// Choice is a recorded choice of a target or a recorded rejection.
type Choice struct {
	At time.Time
	// Kind is the request's kind.
	Kind string
	// Target is the chosen target; it is not valid when the request was rejected.
	Target netip.AddrPort
	// Considered holds the state of the first targets at the time of the choice.
	Considered []ConsideredTarget
	// Rejection is set when the request was rejected.
	Rejection *Rejection `json:"Refusal"`
}

// ConsideredTarget is the state of a target at the time of one choice.
type ConsideredTarget struct {
	Address netip.AddrPort
	chooser.ScoreParts
	// Exclusion is what kept the request from the target.
	Exclusion chooser.Exclusion `json:"Bar"`
}

// String describes the choice in one line.
func (c Choice) String() string {
	var b strings.Builder
	for _, considered := range c.Considered {
		fmt.Fprintf(&b, "%v: %d in flight", considered.Address, considered.Outstanding)
		if considered.ExternalLoad >= minShown {
			fmt.Fprintf(&b, ", external load %.1f", considered.ExternalLoad)
		}
		if considered.OldestAge >= minShown {
			fmt.Fprintf(&b, ", oldest %.1fx normal", considered.OldestAge)
		}
		fmt.Fprintf(&b, ", expected %.2fx normal", considered.Slowdown)
		if considered.Exclusion != chooser.NotExcluded {
			fmt.Fprintf(&b, ", %v; ", considered.Exclusion)
			continue
		}
		fmt.Fprintf(&b, ", score %.2f; ", considered.Score)
	}
	if c.Rejection != nil {
		fmt.Fprintf(&b, "rejected: %v, retry after %v", c.Rejection.Cause, c.Rejection.RetryAfter.Round(time.Millisecond))
		return b.String()
	}
	fmt.Fprintf(&b, "chosen %v", c.Target)
	return b.String()
}

// minShown is the least external load and age that String shows. Smaller values
// would print as 0.0.
const minShown = 0.05

const (
	// recordedChoices is the number of choices kept.
	recordedChoices = 32
	// recordInterval is the least time between two recorded choices.
	recordInterval = 10 * time.Millisecond
	// maxConsidered bounds the targets in one recorded choice.
	maxConsidered = 16
)

// recorder keeps the last choices of a sample.
type recorder struct {
	// interval is the least time between two recorded choices.
	interval time.Duration
	// lastAt is the Unix time in nanoseconds of the last recorded choice.
	lastAt atomic.Int64
	next   atomic.Uint64
	ring   [recordedChoices]atomic.Pointer[Choice]
}

// due reports whether a choice may be recorded now. If so, the next interval
// starts.
func (r *recorder) due(now time.Time) bool {
	at, last := now.UnixNano(), r.lastAt.Load()
	if at-last < int64(r.interval) && at >= last {
		return false
	}
	return r.lastAt.CompareAndSwap(last, at)
}

func (r *recorder) recordGrant(set *chooser.Set, chosen *chooser.Candidate, q chooser.Query, kind string, now time.Time) {
	if !r.due(now) {
		return
	}
	c := &Choice{At: now, Kind: kind, Target: chosen.Target.Address}
	for i := range set.Candidates[:min(len(set.Candidates), maxConsidered)] {
		candidate := &set.Candidates[i]
		considered := ConsideredTarget{Address: candidate.Target.Address}
		if candidate == chosen {
			considered.ScoreParts, _ = set.Explain(candidate, q, 1, now)
		} else {
			considered.ScoreParts, considered.Exclusion = set.Explain(candidate, q, 0, now)
		}
		c.Considered = append(c.Considered, considered)
	}
	r.put(c)
}

func (r *recorder) recordRejection(kind string, rejection *Rejection, now time.Time) {
	if r.due(now) {
		r.put(&Choice{At: now, Kind: kind, Rejection: rejection})
	}
}

func (r *recorder) put(c *Choice) { r.ring[(r.next.Add(1)-1)%recordedChoices].Store(c) }

// last returns the recorded choices, the oldest first.
func (r *recorder) last() []Choice {
	var choices []Choice
	next := r.next.Load()
	for i := range uint64(recordedChoices) {
		if c := r.ring[(next+i)%recordedChoices].Load(); c != nil {
			choices = append(choices, *c)
		}
	}
	return choices
}
