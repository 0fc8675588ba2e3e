package modeler

import "time"

// base is a service of a dozen targets with two slots each, whose neighbours take
// a quarter of the time.
var base = Workload{
	Zones: 3, Entries: 16, Targets: 13, Slots: 2,
	Kinds: []Kind{
		{Name: "lookup", Share: 0.7, Work: 160 * time.Millisecond, Objective: 400 * time.Millisecond, Timeout: time.Second, Priority: 2},
		{Name: "order", Share: 0.3, Work: 210 * time.Millisecond, Objective: 500 * time.Millisecond, Timeout: 1200 * time.Millisecond, Priority: 1, Careful: true},
	},
	Rate: 34, Spread: 0.3, SlowShare: 0.25, SlowFactor: 5, SlowEvery: 150 * time.Millisecond,
	Knee: 0.8, KneeFactor: 1.7, Near: 200 * time.Microsecond, Far: 500 * time.Microsecond, Length: 30 * time.Second,
}

// Workloads are the loads that are played.
var Workloads = []Workload{
	named("calm", base),
	named("burst", base, func(l *Workload) { l.Burst, l.BurstFrom, l.BurstTo = 2.2, 10*time.Second, 15*time.Second }),
	named("full", base, func(l *Workload) { l.Rate *= 1.8 }),
	named("uneven zones", base, func(l *Workload) { l.Rate *= 1.3; l.Skew = 0.4 }),
	named("few targets", base, func(l *Workload) { l.Targets, l.Rate = 5, 14 }),
	named("three slots", base, func(l *Workload) { l.Slots, l.Rate = 3, 60 }),
	named("steady targets", base, func(l *Workload) { l.SlowShare = 0 }),
}

func named(name string, l Workload, changes ...func(l *Workload)) Workload {
	l.Name = name
	for _, c := range changes {
		c(&l)
	}
	return l
}
