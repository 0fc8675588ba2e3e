package assembler

import (
	"net/netip"
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/executor"
	"oriolecourse.example/oriolecourse/internal/process/tracker"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// refreshPeriod bounds the delay of changes that only the passing of time causes, such
// as the end of a target's grace period.
const refreshPeriod = 500 * time.Millisecond

// refresh applies the current state, after each signal and once per refreshPeriod,
// until done is closed.
func (i *Instance) refresh(done <-chan struct{}) error {
	t := time.NewTicker(refreshPeriod)
	defer t.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-i.refreshSignal:
		case <-t.C:
		}
		i.apply(time.Now())
	}
}

// apply passes the current settings, targets and members to the parts of each service.
func (i *Instance) apply(now time.Time) {
	i.applyMutex.Lock()
	defer i.applyMutex.Unlock()
	s := i.settings.Current()
	if s == nil {
		return
	}
	plan := i.planner.update(i, s, now)
	changed := false
	l := executorLimits(nil)
	for key, p := range s.Services {
		if key.Place != i.options.Place {
			continue
		}
		usable := i.tracker.Usable(key.Place, key.Service, now)
		svc := i.services.get(key.Place, key.Service, now)
		svc.activeHome.Store(slices.Contains(plan.Homes(key.Place, key.Service), i.options.Peer))
		owned := func() map[netip.AddrPort]bool { return i.ownedTargets(plan, p, usable) }
		changed = svc.update(plan, p, usable, owned, now) || changed
		l = raiseLimits(l, p)
	}
	if changed {
		i.setConnectionShares(s)
	}
	i.services.dropRemoved(s, now)
	i.operationTable.Configure(l, now)
	i.plan.Store(plan)
}

// setConnectionShares sets this instance's share of the connections to each target in
// use, and closes the idle connections to all other targets.
func (i *Instance) setConnectionShares(s *resolver.Snapshot) {
	services := map[netip.AddrPort]tracker.Service{}
	for k, svc := range i.services.all() {
		p := s.Service(k.Place, k.Service)
		if p == nil || k.Place != i.options.Place {
			continue
		}
		for _, t := range svc.usable {
			i.sender.SetConnectionShare(t.Address, p.Connections/p.Fleet)
			services[t.Address] = k
		}
	}
	i.targetServices.Store(&services)
	i.sender.Retain(func(target netip.AddrPort) bool { _, used := services[target]; return used })
}

// raiseLimits returns the limits raised to at least those of a service, because one
// operation table serves all services.
func raiseLimits(l executor.Limits, p *resolver.Policy) executor.Limits {
	l.EpochDuration = max(l.EpochDuration, p.EpochDuration)
	l.TokenGrace = max(l.TokenGrace, p.HomesTTL)
	l.RecordRetention = max(l.RecordRetention, p.OutcomeRetention)
	return l
}
