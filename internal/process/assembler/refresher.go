package assembler

import (
	"net/netip"
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
	homes := map[netip.AddrPort]tracker.Service{}
	l := limits(nil)
	for key, p := range s.Services {
		if key.Place != i.options.Place {
			continue
		}
		usable := i.tracker.Usable(key.Place, key.Service, now)
		v := i.services.get(key.Place, key.Service, now)
		owned := v.hold(i.owned(plan, p, usable), usable, settleTime+p.Keep, now)
		v.configure(p, usable, owned, now)
		for _, t := range usable {
			i.sender.Share(t.Address, p.Connections/p.Fleet)
			homes[t.Address] = tracker.Service{Place: key.Place, Service: key.Service}
		}
		l = longest(l, p)
	}
	i.services.retain(s, now)
	i.homes.Store(&homes)
	i.sender.Retain(func(target netip.AddrPort) bool { _, used := homes[target]; return used })
	i.table.Configure(l, now)
	i.plan.Store(plan)
}

// longest raises the bounds of the executor to those of a service, since one
// table serves all of them.
func longest(l executor.Limits, p *resolver.Policy) executor.Limits {
	l.Epoch = max(l.Epoch, p.Epoch)
	l.Keep = max(l.Keep, p.Keep)
	l.Forget = max(l.Forget, p.Forget)
	return l
}
