package sizer

import (
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// settleTime is how long after it has met the first other instance an instance has met all of
// them. When a whole fleet starts, each instance hears of the others by and by.
const settleTime = 5 * time.Second

// Options describes what an instance knows of the fleet before it has met another one.
type Options struct {
	// Zone is the availability zone of the instance.
	Zone string
	// Zones is the number of zones of the fleet; 0 if unknown.
	Zones int
	// Alone means that the settings name no other instance.
	Alone bool
}

// Size is the number of instances that share something.
type Size struct {
	// Instances is at least 1 and includes this instance.
	Instances int
	// Known is the number of instances that have been met, this one included.
	Known int
	// Settled means that Instances counts instances that are known. Otherwise it is a guess,
	// and most of the fleet may be unknown.
	Settled bool
}

// Sizer holds the size of the fleet in the view of one instance. It is safe for concurrent
// use.
type Sizer struct {
	options Options
	view    atomic.Pointer[view]
}

// view is what an instance knows of the fleet.
type view struct {
	// known is the number of instances that may be running, this one included.
	known int
	// zones is the number of zones in which they are.
	zones int
	// met is when the first other instance was met; zero before that.
	met time.Time
}

// New returns a sizer that knows this instance only.
func New(o Options) *Sizer {
	s := &Sizer{options: o}
	s.view.Store(&view{known: 1, zones: 1})
	return s
}

// Update sets the other members of the fleet. Failed members count until they are forgotten,
// since they may still run behind a network partition and use their shares. The calls must
// not overlap.
func (s *Sizer) Update(members []detector.Member, now time.Time) {
	next := view{known: 1, met: s.view.Load().met}
	zones := map[string]bool{s.options.Zone: true}
	for _, m := range members {
		if m.State != detector.Ended {
			next.known++
			zones[m.Instance.Zone] = true
		}
	}
	next.zones = len(zones)
	if next.known > 1 && next.met.IsZero() {
		next.met = now
	}
	s.view.Store(&next)
}

// Size returns the size of the fleet. Targets is the number of targets of all services: until
// an instance has met the others, it expects one for each target. An instance that has
// met nobody in some zones expects as many there as in the others, since the fleet may have been
// cut into zones when it started.
func (s *Sizer) Size(targets int, now time.Time) Size {
	v := s.view.Load()
	if v.met.IsZero() && s.options.Alone {
		return Size{Instances: 1, Known: 1, Settled: true}
	}
	settled := !v.met.IsZero() && now.Sub(v.met) >= settleTime
	n := v.known
	if s.options.Zones > v.zones {
		n = (n*s.options.Zones + v.zones - 1) / v.zones
	}
	if !settled {
		n = max(n, targets)
	}
	return Size{Instances: n, Known: v.known, Settled: settled}
}
