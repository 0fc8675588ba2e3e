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

// answer tells a caller which instances to use for a service.
func (i *Instance) answer(place, name string, now time.Time) *server.Answer {
	s := i.settings.Current()
	plan := i.plan.Load()
	if s == nil || plan == nil || s.Service(place, name) == nil {
		return nil
	}
	named := plan.MembersFor(place, name, rand.Uint64())
	if i.options.NameAllInstances {
		named = i.everyone()
	}
	if place != i.options.Place {
		// The last resort of a plan is this instance, which does not serve the place.
		named = slices.DeleteFunc(named, func(m detector.Member) bool { return m.Instance.Place != place })
	}
	a := &server.Answer{Service: name, Place: place, Keep: s.Service(place, name).HomesTTL.String()}
	a.Active = min(max(1, len(plan.Homes(place, name))), len(named))
	for _, m := range named {
		a.Addresses = append(a.Addresses, m.Instance.Address)
	}
	if len(named) > 0 && named[0].Instance.Place == i.options.Place {
		a.Executor = i.tokens.get(named[0], now)
	}
	return a
}

// everyone returns all members that callers may be sent to, in random order.
func (i *Instance) everyone() []detector.Member {
	all := []detector.Member{i.relayer.Self()}
	for _, m := range i.relayer.Members() {
		if m.Usable() {
			all = append(all, m)
		}
	}
	rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all
}

// active returns the number of homes that the call rate of a service needs.
func (i *Instance) active(p *resolver.Policy, now time.Time) int {
	v := i.services.get(p.Place, p.Service, now)
	own := v.meter.Rate(now)
	if i.loads.ReportDue(p.Place, p.Service, own, now) {
		i.relayer.Spread(relayer.Rumor{
			Topic:    relayer.Load,
			Place:    p.Place,
			Service:  p.Service,
			Instance: i.options.Peer,
			Rate:     own,
		}, now)
	}
	return v.scaler.Active(own+i.loads.Rate(p.Place, p.Service, now), p.HomeRate, now)
}

// owned returns the targets of a service that this instance owns.
func (i *Instance) owned(plan *steerer.Plan, p *resolver.Policy, usable []tracker.Target) map[netip.AddrPort]bool {
	targets := make([]netip.AddrPort, len(usable))
	for n, t := range usable {
		targets[n] = t.Address
	}
	homes := plan.Homes(p.Place, p.Service)
	if i.options.NameAllInstances {
		homes = []netip.AddrPort{i.options.Peer}
	}
	found := map[netip.AddrPort]bool{}
	for target, owner := range steerer.Owners(homes, targets) {
		if owner == i.options.Peer {
			found[target] = true
		}
	}
	return found
}
