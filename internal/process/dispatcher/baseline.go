package dispatcher

import (
	"math"
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/chooser"
)

// Baseline returns the index of one of the candidates. It implements a common
// simple policy for comparison. It ignores limits, and a service with a Baseline
// has no queue and no hedges.
type Baseline func(candidates []chooser.Candidate, random uint64) int

// NewBaseline returns a new Baseline of the given name, or nil if there is none.
func NewBaseline(name string) Baseline {
	switch name {
	case "random":
		return pickRandom
	case "robin":
		return newRoundRobin()
	case "two":
		return pickTwo
	}
	return nil
}

func pickRandom(candidates []chooser.Candidate, random uint64) int {
	return int(random % uint64(len(candidates)))
}

// newRoundRobin returns a Baseline that takes the candidates in turn.
func newRoundRobin() Baseline {
	var turn atomic.Uint64
	return func(candidates []chooser.Candidate, _ uint64) int {
		return int(turn.Add(1) % uint64(len(candidates)))
	}
}

// pickTwo returns the one of two random candidates that has fewer outstanding
// requests.
func pickTwo(candidates []chooser.Candidate, random uint64) int {
	count := uint64(len(candidates))
	one, two := int(random%count), int(random/count%count)
	if candidates[two].Target.Outstanding() < candidates[one].Target.Outstanding() {
		return two
	}
	return one
}

// acquireBaseline takes capacity at the target that the Baseline picks, or
// returns nil when there is no target.
func (d *Dispatcher) acquireBaseline(request *Request, now time.Time) *Lease {
	set := d.configuration.Load().set
	if set == nil || len(set.Candidates) == 0 {
		return nil
	}
	c := &set.Candidates[d.Baseline(set.Candidates, d.Random())]
	estimate := d.latencyEstimate(request.Policy.Kind)
	inFlight, ok := c.Target.Begin(math.MaxInt32, set.Slots, estimate.Mean(), now)
	if !ok {
		return nil
	}
	return &Lease{Target: c.Target.Address, Since: now, dispatcher: d, target: c.Target, inFlight: inFlight, estimate: estimate}
}
