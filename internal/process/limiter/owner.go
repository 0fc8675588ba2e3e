package limiter

import (
	"net/netip"
	"slices"
	"sync"

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

// Owners holds the owners in one view of the fleet, so that they are chosen once in it. It
// is safe for concurrent use.
type Owners struct {
	mutex   sync.Mutex
	self    detector.Member
	members []detector.Member
	owners  map[string]Owner
}

// Choose returns ChooseOwner for the view. Members must be a slice that does not change.
func (o *Owners) Choose(key, zone string, self detector.Member, members []detector.Member) Owner {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.owners == nil || self != o.self || !sameSlice(members, o.members) {
		o.self, o.members, o.owners = self, members, map[string]Owner{}
	}
	owner, known := o.owners[key]
	if !known {
		owner = ChooseOwner(key, zone, self, members)
		o.owners[key] = owner
	}
	return owner
}

// sameSlice reports whether two slices are the same part of the same array.
func sameSlice(a, b []detector.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// weight returns the rendezvous hash of an instance for a run.
func weight(peer netip.AddrPort, key string) uint64 {
	address := peer.Addr().As16()
	b := append([]byte(key), address[:]...)
	return xxhash.Sum64(append(b, byte(peer.Port()>>8), byte(peer.Port())))
}
