package sizer

import (
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// Options describes what an instance knows of the fleet before it has met another one.
type Options struct {
	// Zone is the availability zone of the instance, Zones the number of zones of the fleet.
	Zone  string
	Zones int
	// Alone means that the settings name no other instance.
	Alone bool
}

// Size is the number of instances that share something.
type Size struct {
	// Instances is at least 1 and includes this instance.
	Instances int
	// Settled means that Instances counts instances that are known, rather than expected.
	Settled bool
}

// Sizer holds the size of the fleet in the view of one instance. It is safe for concurrent
// use.
type Sizer struct {
	options Options
	known   atomic.Int64
}

// New returns a sizer that knows this instance only.
func New(o Options) *Sizer {
	s := &Sizer{options: o}
	s.known.Store(1)
	return s
}

// Update sets the other members of the fleet. Failed members count until they are forgotten,
// since they may still run behind a network partition and use their shares.
func (s *Sizer) Update(members []detector.Member, _ time.Time) {
	n := int64(1)
	for _, m := range members {
		if m.State != detector.Ended {
			n++
		}
	}
	s.known.Store(n)
}

// Size returns the size of the fleet. Targets is the number of targets of all services.
func (s *Sizer) Size(_ int, _ time.Time) Size {
	return Size{Instances: int(s.known.Load()), Settled: true}
}
