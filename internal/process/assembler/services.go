package assembler

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/dispatcher"
	"oriolecourse.example/oriolecourse/internal/process/prober"
	"oriolecourse.example/oriolecourse/internal/process/steerer"
	"oriolecourse.example/oriolecourse/internal/process/tracker"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// service holds the parts of one service.
type service struct {
	dispatcher *dispatcher.Dispatcher
	prober     *prober.Prober
	// meter measures the requests that this instance takes.
	meter steerer.Meter
	// home tells that this instance is an active home of the service, and so the
	// one that probes its targets, also while none of them is usable.
	home atomic.Bool
	// plan, policy and usable are what was put into force last, owned the targets
	// that this instance owned by it, and held until when it keeps those that it
	// has given up. The refresher owns them.
	plan   *steerer.Plan
	policy *resolver.Policy
	usable []tracker.Target
	owned  map[netip.AddrPort]bool
	held   map[netip.AddrPort]time.Time
	// scaler decides how many homes are active; the refresher owns it.
	scaler steerer.Scaler
	// removed is when the settings were first found without the service, zero
	// while they have it; the refresher owns it.
	removed time.Time
}

// removedLife is the time after which the parts of a removed service are dropped.
// Its requests and probes have ended by then.
const removedLife = 10 * time.Minute

// services holds the parts by service. Readers load the map without a lock.
type services struct {
	zone string
	// policy names the way in which targets are chosen.
	policy  string
	current atomic.Pointer[map[tracker.Service]*service]
	// mutex orders additions.
	mutex sync.Mutex
}

func newServices(zone, policy string) *services {
	s := &services{zone: zone, policy: policy}
	s.current.Store(&map[tracker.Service]*service{})
	return s
}

// get returns the parts of a service and makes them if there are none.
func (s *services) get(place, name string, now time.Time) *service {
	key := tracker.Service{Place: place, Service: name}
	if found := (*s.current.Load())[key]; found != nil {
		return found
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := *s.current.Load()
	if found := old[key]; found != nil {
		return found
	}
	d := dispatcher.New(place, name)
	d.Zone = s.zone
	d.Baseline = dispatcher.NewBaseline(s.policy)
	made := &service{dispatcher: d, held: map[netip.AddrPort]time.Time{}, prober: prober.New(prober.Rate{}, prober.Weights{}, now)}
	grown := maps.Clone(old)
	grown[key] = made
	s.current.Store(&grown)
	return made
}

// retain drops the parts of services that the settings have not had for long.
func (s *services) retain(settings *resolver.Snapshot, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kept := maps.Clone(*s.current.Load())
	maps.DeleteFunc(kept, func(k tracker.Service, v *service) bool {
		switch {
		case settings.Service(k.Place, k.Service) != nil:
			v.removed = time.Time{}
		case v.removed.IsZero():
			v.removed = now
		}
		return !v.removed.IsZero() && now.Sub(v.removed) >= removedLife && v.prober.Pending() == 0
	})
	if len(kept) < len(*s.current.Load()) {
		s.current.Store(&kept)
	}
}

// all returns the parts of all services; the map must not be modified.
func (s *services) all() map[tracker.Service]*service {
	return *s.current.Load()
}

// update puts a plan, settings and targets into force and reports whether there
// was anything new.
func (s *service) update(plan *steerer.Plan, p *resolver.Policy, usable []tracker.Target, owned func() map[netip.AddrPort]bool, now time.Time) bool {
	before := len(s.held)
	maps.DeleteFunc(s.held, func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) })
	if s.plan == plan && s.policy == p && slices.Equal(s.usable, usable) && len(s.held) == before {
		return false
	}
	s.hold(owned(), now.Add(settleTime+p.HomesTTL))
	s.plan, s.policy, s.usable = plan, p, usable
	s.configure(p, usable, now)
	return true
}

// hold keeps the targets that this instance gives up for as long as callers may
// keep the answers that led them here. Otherwise it would have to refuse the calls
// that still come.
func (s *service) hold(owned map[netip.AddrPort]bool, until time.Time) {
	for target := range s.owned {
		if !owned[target] {
			s.held[target] = until
		}
	}
	for target := range owned {
		delete(s.held, target)
	}
	s.owned = owned
}

// configure hands the settings and the usable targets to the parts of a service.
func (s *service) configure(p *resolver.Policy, usable []tracker.Target, now time.Time) {
	targets := make([]dispatcher.Target, 0, len(usable))
	for _, t := range usable {
		_, kept := s.held[t.Address]
		targets = append(targets, dispatcher.Target{
			Address: t.Address,
			Zone:    t.Zone,
			Start:   t.Start,
			Since:   t.Since,
			Warming: t.State == tracker.Warming,
			Owned:   kept || s.owned[t.Address],
		})
	}
	s.dispatcher.Configure(p, targets, now)
	s.prober.Configure(
		prober.Rate{Probes: p.Probes, Fleet: p.Fleet, Window: p.ProbeWindow, Timeout: p.ProbeTimeout},
		prober.Weights{Tail: p.TailWeight, Cost: p.CostWeight},
	)
}
