package detector

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math/bits"
	"slices"
	"time"
)

const (
	// maxUpdatesPerPacket is the largest number of queued updates in one packet. It
	// bounds the size of a packet; only Sync and Table carry the whole table.
	maxUpdatesPerPacket = 8
	// retransmitMultiplier times the binary logarithm of the fleet's size is the
	// number of packets that carry one update.
	retransmitMultiplier = 3
	// minSyncInterval is the least time between two exchanges of whole tables that this
	// instance starts. It bounds the traffic of these exchanges.
	minSyncInterval = 30 * time.Second
	// minSyncIntervalAfterRecovery replaces minSyncInterval when a failed member has
	// just acked, so that the two sides of a partition exchange their tables soon.
	minSyncIntervalAfterRecovery = 2 * time.Second
	// forgetInterval is the time between two searches for members to forget.
	forgetInterval = time.Minute
	// maxPendingUpdates bounds the queue of updates. When the queue is full, its first
	// update is dropped. The last packet usually carried that update, because a packet
	// takes its updates from the front.
	maxPendingUpdates = 1024
)

// update is a statement about a member that is still being spread.
type update struct {
	member Member
	// sent counts the packets that carried the update.
	sent int
}

// enqueue queues an update about a member in place of an earlier one.
func (d *Detector) enqueue(m Member) {
	d.updates = slices.DeleteFunc(d.updates, func(u update) bool {
		return u.member.identity() == m.identity()
	})
	d.updates = append(d.updates, update{member: m})
	if len(d.updates) > maxPendingUpdates {
		d.updates = d.updates[1:]
	}
}

// packet returns a packet with the instance's own member and the updates that were
// sent least often.
func (d *Detector) packet(t Type, sequence uint64) Packet {
	p := Packet{Type: t, Sequence: sequence, From: d.self, Digest: d.digest}
	slices.SortStableFunc(d.updates, func(a, b update) int { return cmp.Compare(a.sent, b.sent) })
	n := min(maxUpdatesPerPacket, len(d.updates))
	limit := retransmitMultiplier * bits.Len(uint(len(d.records)+1))
	for i := range d.updates[:n] {
		d.updates[i].sent++
		p.Updates = append(p.Updates, d.updates[i].member)
	}
	d.updates = slices.DeleteFunc(d.updates, func(u update) bool { return u.sent >= limit })
	return p
}

// table returns the members that are alive or suspect.
func (d *Detector) table() []Member {
	var members []Member
	for _, a := range d.order {
		if r := d.records[a]; r.member.State <= Suspect {
			members = append(members, r.member)
		}
	}
	return members
}

// updateDigest computes the digest of the alive and suspect members and of the
// instance itself. It is equal on instances with equal views.
func (d *Detector) updateDigest() {
	d.digest = memberHash(d.self)
	for _, r := range d.records {
		if r.member.State <= Suspect {
			d.digest ^= r.hash
		}
	}
}

// memberHash hashes the address, the incarnation, Leaving and CutOff of a member.
func memberHash(m Member) uint64 {
	h := fnv.New64a()
	address, _ := m.Instance.Peer.MarshalBinary()
	h.Write(address)
	h.Write(binary.BigEndian.AppendUint64(nil, m.Incarnation))
	if m.Leaving {
		h.Write([]byte{1})
	}
	if m.CutOff {
		h.Write([]byte{2})
	}
	return h.Sum64()
}
