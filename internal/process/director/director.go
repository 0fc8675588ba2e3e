package director

import (
	"net/netip"
	"slices"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

const (
	// maxAddresses is the maximum number of addresses in one response. It bounds the size
	// of the response.
	maxAddresses = 64
	// minLocal is the number of instances of the client's zone below which instances of
	// remote zones are listed too. Otherwise the last local instance would get all clients
	// of its zone.
	minLocal = 2
)

// Choose returns the addresses of the instances for a client of a zone, in ascending
// order. If there are more than maxAddresses, it returns a random sample of them, which
// may lack the only local instance among many remote ones. Self is this instance, and
// ready says whether it accepts clients. Random returns a number in [0, n).
func Choose(zone string, self lister.Instance, ready bool, members []detector.Member, random func(n int) int) []netip.AddrPort {
	var addresses, remote []netip.AddrPort
	add := func(i lister.Instance) {
		if i.Zone == zone {
			addresses = append(addresses, i.Address)
		} else {
			remote = append(remote, i.Address)
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
	if len(addresses) < minLocal {
		addresses = append(addresses, remote...)
	}
	for i := range addresses {
		j := i + random(len(addresses)-i)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	addresses = addresses[:min(maxAddresses, len(addresses))]
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}
