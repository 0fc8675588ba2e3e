package assembler

import (
	"cmp"
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/steerer"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// planner builds the plan of homes anew only when its inputs have changed, since
// its cost grows with the fleet and the number of services.
type planner struct {
	settings *resolver.Snapshot
	self     detector.Member
	// members is the membership as published; a change publishes another slice.
	members []detector.Member
	// services are in order of place and name.
	services []steerer.Service
	plan     *steerer.Plan
}

// build returns the homes of all services under the present view.
func (p *planner) build(i *Instance, s *resolver.Snapshot, now time.Time) *steerer.Plan {
	services := i.planned(s, now)
	self, members := i.relayer.Self(), i.relayer.Members()
	if p.plan != nil && p.settings == s && p.self == self && same(p.members, members) && slices.Equal(p.services, services) {
		return p.plan
	}
	v := steerer.View{Self: self, Members: members, Load: i.loads.InstanceLoads(now)}
	*p = planner{settings: s, self: self, members: members, services: services, plan: steerer.Build(v, services)}
	return p.plan
}

// same tells whether two slices are one.
func same(a, b []detector.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// planned lists the services with the number of homes that each one needs.
func (i *Instance) planned(s *resolver.Snapshot, now time.Time) []steerer.Service {
	services := make([]steerer.Service, 0, len(s.Services))
	for k, p := range s.Services {
		services = append(services, steerer.Service{
			Place:       k.Place,
			Name:        k.Service,
			MemberCount: p.MinHomes,
			ActiveHomes: i.active(p, now),
		})
	}
	slices.SortFunc(services, func(a, b steerer.Service) int {
		return cmp.Or(cmp.Compare(a.Place, b.Place), cmp.Compare(a.Name, b.Name))
	})
	return services
}
