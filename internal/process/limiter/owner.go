package limiter

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/director"
)

// Owner is the instance that counts the messages of the fleet to a run of a target.
type Owner struct {
	Peer netip.AddrPort
	// Share is the part of the limit that the owner may grant: the part that the live
	// instances are of those that may be running, in the view of this instance.
	Share float64
}

// ChooseOwner returns the owner of a run of a target in a zone. Self is this instance.
func ChooseOwner(key, zone string, self detector.Member, members []detector.Member) Owner {
	all := append(slices.Clone(members), self)
	visible := 0
	for _, m := range all {
		if m.State == detector.Alive {
			visible++
		}
	}
	o := Owner{Peer: self.Instance.Peer, Share: float64(visible) / float64(len(all))}
	most := uint64(0)
	for _, m := range director.Candidates(zone, all) {
		if w := weight(m.Instance.Peer, key); w >= most {
			o.Peer, most = m.Instance.Peer, w
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
