package director

import (
	"net/netip"
	"slices"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

const (
	// most bounds the addresses of one answer.
	most = 64
	// least is the number of instances of the client's zone below which those of
	// other zones are named too.
	least = 2
)

// Choose returns the addresses for a client of a zone. Self is this instance;
// ready tells whether it takes clients. Pick returns a number from 0 up to n.
func Choose(zone string, self lister.Instance, ready bool, members []detector.Member, pick func(n int) int) []netip.AddrPort {
	var near, far []netip.AddrPort
	add := func(i lister.Instance) {
		if i.Zone == zone {
			near = append(near, i.Address)
		} else {
			far = append(far, i.Address)
		}
	}
	for _, m := range members {
		if m.State == detector.Alive && !m.Leaving {
			add(m.Instance)
		}
	}
	if ready {
		add(self)
	}
	if len(near) < least {
		near = append(near, far...)
	}
	for i := range near {
		j := i + pick(len(near)-i)
		near[i], near[j] = near[j], near[i]
	}
	near = near[:min(most, len(near))]
	slices.SortFunc(near, netip.AddrPort.Compare)
	return near
}
