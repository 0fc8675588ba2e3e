package assembler

import (
	"net/netip"
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/executor"
	"oriolecourse.example/oriolecourse/internal/process/tracker"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// refreshPeriod bounds the delay of changes that come with time alone, such as
// the end of a target's grace.
const refreshPeriod = 500 * time.Millisecond

// refresh puts what is known into force until done is closed.
func (i *Instance) refresh(done <-chan struct{}) error {
	t := time.NewTicker(refreshPeriod)
	defer t.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-i.changed:
		case <-t.C:
		}
		i.apply(time.Now())
	}
}

// apply hands settings, targets and members to the parts of each service.
func (i *Instance) apply(now time.Time) {
	i.applying.Lock()
	defer i.applying.Unlock()
	s := i.settings.Current()
	if s == nil {
		return
	}
	plan := i.planner.build(i, s, now)
	changed := false
	l := limits(nil)
	for key, p := range s.Services {
		if key.Place != i.options.Place {
			continue
		}
		usable := i.tracker.Usable(key.Place, key.Service, now)
		v := i.services.get(key.Place, key.Service, now)
		v.home.Store(slices.Contains(plan.Homes(key.Place, key.Service), i.options.Peer))
		owned := func() map[netip.AddrPort]bool { return i.owned(plan, p, usable) }
		changed = v.update(plan, p, usable, owned, now) || changed
		l = longest(l, p)
	}
	if changed {
		i.connect(s)
	}
	i.services.retain(s, now)
	i.table.Configure(l, now)
	i.plan.Store(plan)
}

// connect shares the connections to the targets in use and closes the others.
func (i *Instance) connect(s *resolver.Snapshot) {
	homes := map[netip.AddrPort]tracker.Service{}
	for k, v := range i.services.all() {
		p := s.Service(k.Place, k.Service)
		if p == nil || k.Place != i.options.Place {
			continue
		}
		for _, t := range v.usable {
			i.sender.SetConnectionShare(t.Address, p.Connections/p.Fleet)
			homes[t.Address] = k
		}
	}
	i.homes.Store(&homes)
	i.sender.Retain(func(target netip.AddrPort) bool { _, used := homes[target]; return used })
}

// longest raises the bounds of the executor to those of a service, since one
// table serves all of them.
func longest(l executor.Limits, p *resolver.Policy) executor.Limits {
	l.EpochDuration = max(l.EpochDuration, p.EpochDuration)
	l.TokenGrace = max(l.TokenGrace, p.HomesTTL)
	l.RecordRetention = max(l.RecordRetention, p.OutcomeRetention)
	return l
}
