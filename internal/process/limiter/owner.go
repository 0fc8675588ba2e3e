package limiter

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// Owner is the instance that counts the messages of the fleet to a run of a target.
type Owner struct {
	Peer netip.AddrPort
	// Share is the part of the limit that the owner may grant: the part that the live
	// instances are of those that may be running, in the view of this instance.
	Share float64
}

// ChooseOwner returns the owner of a run of a target in a zone. Self is this instance,
// serves says that it takes new callers and reaches the targets.
func ChooseOwner(key, zone string, self lister.Instance, serves bool, members []detector.Member) Owner {
	var local, remote []netip.AddrPort
	add := func(i lister.Instance) {
		if i.Zone == zone {
			local = append(local, i.Peer)
		} else {
			remote = append(remote, i.Peer)
		}
	}
	if serves {
		add(self)
	}
	visible := 1
	for _, m := range members {
		if m.State != detector.Alive {
			continue
		}
		visible++
		if m.Serves() {
			add(m.Instance)
		}
	}
	candidates := local
	if len(candidates) == 0 {
		candidates = remote
	}
	o := Owner{Peer: self.Peer, Share: float64(visible) / float64(1+len(members))}
	most := uint64(0)
	for _, c := range candidates {
		if w := weight(c, key); w >= most {
			o.Peer, most = c, w
		}
	}
	return o
}

// weight returns the rendezvous hash of an instance for a run.
func weight(peer netip.AddrPort, key string) uint64 {
	address := peer.Addr().As16()
	b := append([]byte(key), address[:]...)
	return xxhash.Sum64(append(b, byte(peer.Port()>>8), byte(peer.Port())))
}
