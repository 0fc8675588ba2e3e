package assembler

import (
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/server"
	"oriolecourse.example/oriolecourse/internal/process/tracker"
	"oriolecourse.example/oriolecourse/internal/version/lister"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// answer tells a caller which instances to use for a service.
func (i *Instance) answer(place, name string, _ time.Time) *server.Answer {
	s := i.settings.Current()
	if s == nil || s.Service(place, name) == nil {
		return nil
	}
	p := s.Service(place, name)
	a := &server.Answer{Service: name, Place: place, Keep: p.Keep.String()}
	for _, l := range i.list.Current().Instances {
		if l.State == lister.Live {
			a.Addresses = append(a.Addresses, l.Address)
		}
	}
	return a
}

// owned tells which targets of a service this instance owns.
func (i *Instance) owned(_ *resolver.Policy, _ []tracker.Target, _ time.Time) func(netip.AddrPort) bool {
	return func(netip.AddrPort) bool { return true }
}
