package relayer

import (
	"net/netip"
	"sync"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// Feature is something that some builds understand and earlier ones don't. The values are
// part of the wire format.
type Feature uint8

// The features. A build that sends none of them is 01113c9 or an earlier one.
const (
	// TellsFacts means that the instance reads and sends Facts.
	TellsFacts Feature = iota
	// ReadsEmptiedZones means that the instance reads from the platform which availability
	// zones are emptied.
	ReadsEmptiedZones
)

// Features is a set of features.
type Features uint64

// ownFeatures holds the features of this build.
const ownFeatures = Features(1<<TellsFacts | 1<<ReadsEmptiedZones)

// Has reports whether the set contains a feature.
func (s Features) Has(f Feature) bool { return s&(1<<f) != 0 }

// PeerBuild is what a peer tells about its build.
type PeerBuild struct {
	// Incarnation is the incarnation that told it.
	Incarnation uint64
	Features    Features
	// Build is the name of the build; empty for 01113c9 and earlier ones.
	Build string
}

// maxPeers bounds the number of peers whose builds are remembered. It exceeds any fleet,
// and only peers with the fleet's key are remembered.
const maxPeers = 4096

// peers holds the builds of peers by address.
type peers struct {
	mutex  sync.Mutex
	builds map[netip.AddrPort]PeerBuild
}

// add records what a peer has told in its handshake.
func (p *peers) add(i framer.Identity, c framer.Capabilities) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.builds == nil {
		p.builds = map[netip.AddrPort]PeerBuild{}
	}
	if _, known := p.builds[i.Peer]; known || len(p.builds) < maxPeers {
		p.builds[i.Peer] = PeerBuild{Incarnation: i.Incarnation, Features: Features(c.Features), Build: c.Build}
	}
}

// remove forgets an incarnation that has ended.
func (p *peers) remove(peer netip.AddrPort, incarnation uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.builds[peer].Incarnation == incarnation {
		delete(p.builds, peer)
	}
}

// Build returns what the instance at an address told about its build in the last handshake
// with it. It returns false if there was none: then nothing is known.
func (r *Relayer) Build(peer netip.AddrPort) (PeerBuild, bool) {
	r.peers.mutex.Lock()
	defer r.peers.mutex.Unlock()
	b, known := r.peers.builds[peer]
	return b, known
}

// Features returns the features of the instance at an address: none if nothing is known.
func (r *Relayer) Features(peer netip.AddrPort) Features {
	b, _ := r.Build(peer)
	return b.Features
}

// Lacks reports whether the instance at an address is known to lack a feature.
func (r *Relayer) Lacks(peer netip.AddrPort, f Feature) bool {
	b, known := r.Build(peer)
	return known && !b.Features.Has(f)
}
