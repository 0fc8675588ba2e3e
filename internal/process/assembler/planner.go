package assembler

import (
	"cmp"
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/steerer"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// planner caches the plan of homes. It builds a new plan only when the inputs have
// changed, because the cost of a plan grows with the fleet and the number of services.
type planner struct {
	settings *resolver.Snapshot
	self     detector.Member
	// members is the slice that the relayer published. Each change publishes a new one.
	members []detector.Member
	// services is sorted by place and name.
	services []steerer.Service
	plan     *steerer.Plan
}

// update returns the plan for the current settings and members.
func (p *planner) update(i *Instance, s *resolver.Snapshot, now time.Time) *steerer.Plan {
	services := i.plannedServices(s, now)
	self, members := i.relayer.Self(), i.relayer.Members()
	if p.plan != nil && p.settings == s && p.self == self && sameSlice(p.members, members) && slices.Equal(p.services, services) {
		return p.plan
	}
	v := steerer.View{Self: self, Members: members, Load: i.loads.InstanceLoads(now)}
	*p = planner{settings: s, self: self, members: members, services: services, plan: steerer.Build(v, services)}
	return p.plan
}

// sameSlice reports whether two slices have the same length and share their elements.
func sameSlice(a, b []detector.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// plannedServices returns the services with the number of homes that each one needs.
func (i *Instance) plannedServices(s *resolver.Snapshot, now time.Time) []steerer.Service {
	services := make([]steerer.Service, 0, len(s.Services))
	for k, p := range s.Services {
		services = append(services, steerer.Service{
			Place:       k.Place,
			Name:        k.Service,
			MemberCount: p.MinHomes,
			ActiveHomes: i.updateActiveHomes(p, now),
		})
	}
	slices.SortFunc(services, func(a, b steerer.Service) int {
		return cmp.Or(cmp.Compare(a.Place, b.Place), cmp.Compare(a.Name, b.Name))
	})
	return services
}
