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
	// maxUpdates bounds the news on one packet.
	maxUpdates = 8
	// copies times the logarithm of the fleet's size is how often one update is sent.
	copies = 3
	// syncGap is the least time between exchanges of whole tables.
	syncGap = 30 * time.Second
	// healGap is the same after a member came back that was out of reach.
	healGap = 2 * time.Second
	// forgetGap is the time between looks for members to forget.
	forgetGap = time.Minute
	// maxPending bounds the updates that wait to be sent; the most sent go first.
	maxPending = 1024
)

// update is news of one member that is still being spread.
type update struct {
	member Member
	sent   int
}

// enqueue starts to spread news of a member in place of older news.
func (d *Detector) enqueue(m Member) {
	d.updates = slices.DeleteFunc(d.updates, func(u update) bool {
		return u.member.identity() == m.identity()
	})
	d.updates = append(d.updates, update{member: m})
	if len(d.updates) > maxPending {
		d.updates = d.updates[1:]
	}
}

// packet returns a packet with the instance's own member and the news sent least.
func (d *Detector) packet(t Type, sequence uint64) Packet {
	p := Packet{Type: t, Sequence: sequence, From: d.self, Digest: d.digest}
	slices.SortStableFunc(d.updates, func(a, b update) int { return cmp.Compare(a.sent, b.sent) })
	n := min(maxUpdates, len(d.updates))
	limit := copies * bits.Len(uint(len(d.records)+1))
	for i := range d.updates[:n] {
		d.updates[i].sent++
		p.Updates = append(p.Updates, d.updates[i].member)
	}
	d.updates = slices.DeleteFunc(d.updates, func(u update) bool { return u.sent >= limit })
	return p
}

// table returns the members that the instance believes to run.
func (d *Detector) table() []Member {
	var members []Member
	for _, a := range d.order {
		if r := d.records[a]; r.member.State <= Suspect {
			members = append(members, r.member)
		}
	}
	return members
}

// summarize computes the digest of the members that the instance believes to
// run, itself included, so that it agrees between instances of one belief.
func (d *Detector) summarize() {
	d.digest = summary(d.self)
	for _, r := range d.records {
		if r.member.State <= Suspect {
			d.digest ^= r.summary
		}
	}
}

func summary(m Member) uint64 {
	h := fnv.New64a()
	address, _ := m.Instance.Peer.MarshalBinary()
	h.Write(address)
	h.Write(binary.BigEndian.AppendUint64(nil, m.Incarnation))
	if m.Leaving {
		h.Write([]byte{1})
	}
	return h.Sum64()
}
