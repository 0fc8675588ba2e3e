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
	// activeHome is true if this instance is an active home of the service. Active homes
	// probe the targets, also while no target is usable.
	activeHome atomic.Bool
	// plan, policy and usable are the inputs of the last update, and owned the targets
	// that this instance owns under them. retained maps each target that it no longer
	// owns to the time until which it still treats the target as owned. All are guarded
	// by Instance.applyMutex.
	plan     *steerer.Plan
	policy   *resolver.Policy
	usable   []tracker.Target
	owned    map[netip.AddrPort]bool
	retained map[netip.AddrPort]time.Time
	// scaler decides how many homes are active. It is guarded by Instance.applyMutex.
	scaler steerer.Scaler
	// removedSince is when the service was first missing from the settings, or zero if
	// it is not. It is guarded by Instance.applyMutex.
	removedSince time.Time
}

// removedRetention is how long the parts of a removed service are kept. Its requests
// end within that time. A probe may take longer, so dropRemoved also waits until none is
// pending.
const removedRetention = 10 * time.Minute

// services holds the parts of each service. Readers load the map without a lock.
type services struct {
	zone string
	// baseline is Options.Baseline.
	baseline string
	current  atomic.Pointer[map[tracker.Service]*service]
	// mutex serializes changes of the map.
	mutex sync.Mutex
}

func newServices(zone, baseline string) *services {
	s := &services{zone: zone, baseline: baseline}
	s.current.Store(&map[tracker.Service]*service{})
	return s
}

// get returns the parts of a service and creates them if there are none.
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
	d.Baseline = dispatcher.NewBaseline(s.baseline)
	created := &service{dispatcher: d, retained: map[netip.AddrPort]time.Time{}, prober: prober.New(prober.Rate{}, prober.Weights{}, now)}
	updated := maps.Clone(old)
	updated[key] = created
	s.current.Store(&updated)
	return created
}

// dropRemoved drops the parts of the services that have been missing from the settings
// for removedRetention and have no pending probe.
func (s *services) dropRemoved(settings *resolver.Snapshot, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	remaining := maps.Clone(*s.current.Load())
	maps.DeleteFunc(remaining, func(k tracker.Service, svc *service) bool {
		switch {
		case settings.Service(k.Place, k.Service) != nil:
			svc.removedSince = time.Time{}
		case svc.removedSince.IsZero():
			svc.removedSince = now
		}
		return !svc.removedSince.IsZero() && now.Sub(svc.removedSince) >= removedRetention && svc.prober.Pending() == 0
	})
	if len(remaining) < len(*s.current.Load()) {
		s.current.Store(&remaining)
	}
}

// all returns the parts of all services; the map must not be modified.
func (s *services) all() map[tracker.Service]*service {
	return *s.current.Load()
}

// update applies a plan, settings and usable targets. It reports whether anything
// changed.
func (s *service) update(plan *steerer.Plan, p *resolver.Policy, usable []tracker.Target, owned func() map[netip.AddrPort]bool, now time.Time) bool {
	retainedBefore := len(s.retained)
	maps.DeleteFunc(s.retained, func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) })
	if s.plan == plan && s.policy == p && slices.Equal(s.usable, usable) && len(s.retained) == retainedBefore {
		return false
	}
	s.setOwned(owned(), now.Add(propagationTime+p.HomesTTL))
	s.plan, s.policy, s.usable = plan, p, usable
	s.configure(p, usable, now)
	return true
}

// setOwned sets the targets that this instance owns. It retains the targets that the
// instance no longer owns until the address responses that name this instance have
// expired: peers may name it for propagationTime more, and callers use each response for
// HomesTTL. Otherwise the instance would have to reject the calls that still arrive.
func (s *service) setOwned(owned map[netip.AddrPort]bool, until time.Time) {
	for target := range s.owned {
		if !owned[target] {
			s.retained[target] = until
		}
	}
	for target := range owned {
		delete(s.retained, target)
	}
	s.owned = owned
}

// configure passes the settings and the usable targets to the dispatcher and the
// prober.
func (s *service) configure(p *resolver.Policy, usable []tracker.Target, now time.Time) {
	targets := make([]dispatcher.Target, 0, len(usable))
	for _, t := range usable {
		_, retained := s.retained[t.Address]
		targets = append(targets, dispatcher.Target{
			Address: t.Address,
			Zone:    t.Zone,
			Start:   t.Start,
			Since:   t.Since,
			Warming: t.State == tracker.Warming,
			Owned:   retained || s.owned[t.Address],
		})
	}
	s.dispatcher.Configure(p, targets, now)
	s.prober.Configure(
		prober.Rate{Probes: p.Probes, Fleet: p.Fleet, Window: p.ProbeWindow, Timeout: p.ProbeTimeout},
		prober.Weights{Tail: p.TailWeight, Cost: p.CostWeight},
	)
}
