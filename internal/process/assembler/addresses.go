package assembler

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/process/server"
	"oriolecourse.example/oriolecourse/internal/process/steerer"
	"oriolecourse.example/oriolecourse/internal/process/tracker"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// addressResponse returns the instances that a caller of a service should use, or
// nil if the service is unknown or there is no plan yet.
func (i *Instance) addressResponse(place, name string, now time.Time) *server.AddressResponse {
	s := i.settings.Current()
	plan := i.plan.Load()
	if s == nil || plan == nil || s.Service(place, name) == nil {
		return nil
	}
	members := plan.MembersFor(place, name, rand.Uint64())
	if i.options.NameAllInstances {
		members = i.usableMembers()
	}
	if place != i.options.Place {
		// The fallback of a plan is this instance, which does not serve the place.
		members = slices.DeleteFunc(members, func(m detector.Member) bool { return m.Instance.Place != place })
	}
	response := &server.AddressResponse{Service: name, Place: place, ValidFor: s.Service(place, name).HomesTTL.String()}
	response.ActiveCount = min(max(1, len(plan.Homes(place, name))), len(members))
	for _, m := range members {
		response.Addresses = append(response.Addresses, m.Instance.Address)
	}
	if len(members) > 0 && members[0].Instance.Place == i.options.Place {
		response.ExecutorToken = i.tokens.get(members[0], now)
	}
	return response
}

// usableMembers returns all members that may be named to callers, in random order.
// This instance is always one of them.
func (i *Instance) usableMembers() []detector.Member {
	members := []detector.Member{i.relayer.Self()}
	for _, m := range i.relayer.Members() {
		if m.Usable() {
			members = append(members, m)
		}
	}
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	return members
}

// updateActiveHomes updates and returns the number of homes that the call rate of a
// service needs. It reports the rate of this instance to the peers if a report is due.
func (i *Instance) updateActiveHomes(p *resolver.Policy, now time.Time) int {
	svc := i.services.get(p.Place, p.Service, now)
	rate := svc.meter.Rate(now)
	if i.loads.ReportDue(p.Place, p.Service, rate, now) {
		i.relayer.Spread(relayer.Rumor{
			Topic:    relayer.Load,
			Place:    p.Place,
			Service:  p.Service,
			Instance: i.options.Peer,
			Rate:     rate,
		}, now)
	}
	return svc.scaler.Active(rate+i.loads.Rate(p.Place, p.Service, now), p.HomeRate, now)
}

// ownedTargets returns the targets of a service that this instance owns.
func (i *Instance) ownedTargets(plan *steerer.Plan, p *resolver.Policy, usable []tracker.Target) map[netip.AddrPort]bool {
	targets := make([]netip.AddrPort, len(usable))
	for n, t := range usable {
		targets[n] = t.Address
	}
	homes := plan.Homes(p.Place, p.Service)
	if i.options.NameAllInstances {
		homes = []netip.AddrPort{i.options.Peer}
	}
	owned := map[netip.AddrPort]bool{}
	for target, owner := range steerer.Owners(homes, targets) {
		if owner == i.options.Peer {
			owned[target] = true
		}
	}
	return owned
}
