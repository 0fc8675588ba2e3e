package dispatcher

import (
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/chooser"
)

// Choice is one recorded decision.
type Choice struct {
	At time.Time
	// Kind is the request's kind.
	Kind string
	// Target is the chosen one; it is not valid when the request was refused.
	Target netip.AddrPort
	// Considered holds the first targets as the choice saw them.
	Considered []Considered
	// Refusal is set when the request was refused.
	Refusal *Rejection
}

// Considered is a target as one choice saw it.
type Considered struct {
	Address netip.AddrPort
	chooser.Parts
	// Bar is what kept the request from the target.
	Bar chooser.Bar
}

// String tells the choice in one line.
func (c Choice) String() string {
	var b strings.Builder
	for _, o := range c.Considered {
		fmt.Fprintf(&b, "%v: %d in flight", o.Address, o.Outstanding)
		if o.Others >= leastShown {
			fmt.Fprintf(&b, ", %.1f of others", o.Others)
		}
		if o.Age >= leastShown {
			fmt.Fprintf(&b, ", oldest %.1fx normal", o.Age)
		}
		fmt.Fprintf(&b, ", expected %.2fx normal", o.Slowdown)
		if o.Bar != chooser.Open {
			fmt.Fprintf(&b, ", %v; ", o.Bar)
			continue
		}
		fmt.Fprintf(&b, ", score %.2f; ", o.Score)
	}
	if c.Refusal != nil {
		fmt.Fprintf(&b, "refused: %v, come back in %v", c.Refusal.Cause, c.Refusal.RetryAfter.Round(time.Millisecond))
		return b.String()
	}
	fmt.Fprintf(&b, "chosen %v", c.Target)
	return b.String()
}

// leastShown is the least load of others and age that String shows.
const leastShown = 0.05

const (
	// recorded is the number of choices kept.
	recorded = 32
	// recordEvery is the least time between two recorded choices.
	recordEvery = 10 * time.Millisecond
	// consideredAtMost bounds the targets that one recorded choice shows.
	consideredAtMost = 16
)

// recorder keeps the last choices of a sample.
type recorder struct {
	// every is the least time between two recorded choices.
	every time.Duration
	// at is the Unix time in nanoseconds of the last recorded choice.
	at   atomic.Int64
	next atomic.Uint64
	ring [recorded]atomic.Pointer[Choice]
}

func (r *recorder) due(now time.Time) bool {
	at, last := now.UnixNano(), r.at.Load()
	if at-last < int64(r.every) && at >= last {
		return false
	}
	return r.at.CompareAndSwap(last, at)
}

func (r *recorder) grant(set *chooser.Set, chosen *chooser.Candidate, q chooser.Query, kind string, now time.Time) {
	if !r.due(now) {
		return
	}
	c := &Choice{At: now, Kind: kind, Target: chosen.Target.Address}
	for i := range set.Candidates[:min(len(set.Candidates), consideredAtMost)] {
		other := &set.Candidates[i]
		o := Considered{Address: other.Target.Address}
		if other == chosen {
			o.Parts, _ = set.Explain(other, q, 1, now)
		} else {
			o.Parts, o.Bar = set.Explain(other, q, 0, now)
		}
		c.Considered = append(c.Considered, o)
	}
	r.put(c)
}

func (r *recorder) refuse(kind string, refusal *Rejection, now time.Time) {
	if r.due(now) {
		r.put(&Choice{At: now, Kind: kind, Refusal: refusal})
	}
}

func (r *recorder) put(c *Choice) { r.ring[(r.next.Add(1)-1)%recorded].Store(c) }

// last returns the recorded choices, the oldest first.
func (r *recorder) last() []Choice {
	var choices []Choice
	next := r.next.Load()
	for i := range uint64(recorded) {
		if c := r.ring[(next+i)%recorded].Load(); c != nil {
			choices = append(choices, *c)
		}
	}
	return choices
}
