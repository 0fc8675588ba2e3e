package modeler

import "time"

// baseWorkload is a service with 13 targets of two slots each. Neighbours slow down
// each target for a quarter of the time.
var baseWorkload = Workload{
	Zones: 3, Instances: 16, Targets: 13, Slots: 2,
	Kinds: []Kind{
		{Name: "lookup", Share: 0.7, Work: 160 * time.Millisecond, Objective: 400 * time.Millisecond, Timeout: time.Second, Priority: 2},
		{Name: "order", Share: 0.3, Work: 210 * time.Millisecond, Objective: 500 * time.Millisecond, Timeout: 1200 * time.Millisecond, Priority: 1, NonIdempotent: true},
	},
	Rate: 34, Spread: 0.3, SlowShare: 0.25, Slowdown: 5, SlowInterval: 150 * time.Millisecond,
	Knee: 0.8, KneeSlowdown: 1.7, LocalDelay: 200 * time.Microsecond, RemoteDelay: 500 * time.Microsecond, Duration: 30 * time.Second,
}

// Workloads holds the simulated workloads.
var Workloads = []Workload{
	newWorkload("calm", baseWorkload),
	newWorkload("burst", baseWorkload, func(l *Workload) { l.BurstFactor, l.BurstStart, l.BurstEnd = 2.2, 10*time.Second, 15*time.Second }),
	newWorkload("full", baseWorkload, func(l *Workload) { l.Rate *= 1.8 }),
	newWorkload("uneven zones", baseWorkload, func(l *Workload) { l.Rate *= 1.3; l.Skew = 0.4 }),
	newWorkload("few targets", baseWorkload, func(l *Workload) { l.Targets, l.Rate = 5, 14 }),
	newWorkload("three slots", baseWorkload, func(l *Workload) { l.Slots, l.Rate = 3, 60 }),
	// Four zones with two targets each, which are busy for short times while most of all
	// slots are free.
	newWorkload("two targets a zone", baseWorkload, func(l *Workload) {
		l.Zones, l.Instances, l.Targets, l.Slots, l.Rate = 4, 17, 8, 4, 160
		l.Kinds = []Kind{{Name: "booking", Share: 1, Work: 78 * time.Millisecond, Objective: 250 * time.Millisecond, Timeout: 600 * time.Millisecond, Priority: 1, NonIdempotent: true}}
	}),
	newWorkload("shed half", baseWorkload, func(l *Workload) { l.ShedShare, l.ClientDelay = 0.5, 3*time.Millisecond }),
	newWorkload("steady targets", baseWorkload, func(l *Workload) { l.SlowShare = 0 }),
}

// newWorkload returns a copy of l with a name and some changes.
func newWorkload(name string, l Workload, changes ...func(l *Workload)) Workload {
	l.Name = name
	for _, c := range changes {
		c(&l)
	}
	return l
}
