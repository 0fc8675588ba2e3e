package composer

import (
	"net/netip"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
)

// readsLess reports whether the instance at an address is known to run a build that reads
// less from the platform than this one.
func (i *Instance) readsLess(peer netip.AddrPort) bool {
	return i.relayer.Lacks(peer, relayer.ReadsEmptiedZones)
}

// earlierBuilds returns the number of live instances that are known to run such a build.
func (i *Instance) earlierBuilds() int {
	n := 0
	for _, m := range i.relayer.Members() {
		if m.State == detector.Alive && i.readsLess(m.Instance.Peer) {
			n++
		}
	}
	return n
}

// besideEarlierBuilds reports whether there are any.
func (i *Instance) besideEarlierBuilds() bool { return i.earlierBuilds() > 0 }
