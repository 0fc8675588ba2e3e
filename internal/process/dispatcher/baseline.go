package dispatcher

import (
	"math"
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/chooser"
)

// Baseline picks one of the candidates in a plain way that others use, for
// comparison. It knows no limits, and a service with a Baseline has no queue and
// no second tries.
type Baseline func(candidates []chooser.Candidate, random uint64) int

// NewBaseline returns a new Baseline by name, or nil.
func NewBaseline(name string) Baseline {
	switch name {
	case "random":
		return pickRandom
	case "robin":
		return newRobin()
	case "two":
		return pickTwo
	}
	return nil
}

func pickRandom(candidates []chooser.Candidate, random uint64) int {
	return int(random % uint64(len(candidates)))
}

// newRobin returns a Baseline that takes the candidates in turn.
func newRobin() Baseline {
	var turn atomic.Uint64
	return func(candidates []chooser.Candidate, _ uint64) int {
		return int(turn.Add(1) % uint64(len(candidates)))
	}
}

// pickTwo returns the less loaded of two random candidates.
func pickTwo(candidates []chooser.Candidate, random uint64) int {
	count := uint64(len(candidates))
	one, two := int(random%count), int(random/count%count)
	if candidates[two].Target.Outstanding() < candidates[one].Target.Outstanding() {
		return two
	}
	return one
}

// plain takes room by the Baseline, or returns nil when there is no target.
func (d *Dispatcher) plain(want *Request, now time.Time) *Lease {
	set := d.view.Load().set
	if set == nil || len(set.Candidates) == 0 {
		return nil
	}
	c := &set.Candidates[d.Baseline(set.Candidates, d.Random())]
	n := d.normal(want.Policy.Kind)
	mark, ok := c.Target.Begin(math.MaxInt32, set.Slots, n.Mean(), now)
	if !ok {
		return nil
	}
	return &Lease{Target: c.Target.Address, Since: now, dispatcher: d, target: c.Target, mark: mark, normal: n}
}
