package detector

import (
	"net/netip"
	"time"
)

// handlers holds what each type of packet leads to besides the news in it.
var handlers = [typeCount]func(*Detector, Packet, time.Time) []Outgoing{
	Ping:        (*Detector).handlePing,
	Ack:         (*Detector).handleAck,
	PingRequest: (*Detector).handleRequest,
	RelayedAck:  (*Detector).handleRelayed,
	Sync:        (*Detector).handleSync,
	Table:       (*Detector).handleTable,
}

// Receive takes a packet and returns the packets to send.
func (d *Detector) Receive(p Packet, now time.Time) []Outgoing {
	if p.Type >= typeCount || p.From.Instance.Peer == d.self.Instance.Peer || p.From.Incarnation == 0 {
		return nil
	}
	if !d.answers(p) {
		d.meet(p.From, now)
	}
	// The answer goes first: it is fresher than the news that came with it.
	actions := handlers[p.Type](d, p, now)
	d.learn(p.Updates, now)
	return actions
}

// answers reports whether a packet is the answer to one of the instance's pings.
func (d *Detector) answers(p Packet) bool {
	waiting := d.pings[p.Sequence]
	return p.Type == Ack && waiting != nil && waiting.to == p.From.Instance.Peer
}

func (d *Detector) handlePing(p Packet, _ time.Time) []Outgoing {
	return []Outgoing{{To: p.From.Instance.Peer, Packet: d.packet(Ack, p.Sequence)}}
}

func (d *Detector) handleAck(p Packet, now time.Time) []Outgoing {
	if !d.answers(p) {
		return nil
	}
	waiting := d.pings[p.Sequence]
	delete(d.pings, p.Sequence)
	back := d.answered(p.From, waiting, now)
	if waiting.origin.IsValid() {
		packet := d.packet(RelayedAck, waiting.sequence)
		packet.AckedBy = []Member{p.From}
		return []Outgoing{{To: waiting.origin, Packet: packet}}
	}
	return d.reconcile(p.From, p.Digest, back, now)
}

func (d *Detector) handleRequest(p Packet, now time.Time) []Outgoing {
	if p.PingAddress == d.self.Instance.Peer {
		return nil
	}
	action := d.ping(p.PingAddress, now)
	waiting := d.pings[action.Packet.Sequence]
	waiting.origin = p.From.Instance.Peer
	waiting.sequence = p.Sequence
	return []Outgoing{action}
}

// handleRelayed takes the word of a helper that the member answered it.
func (d *Detector) handleRelayed(p Packet, now time.Time) []Outgoing {
	waiting := d.pings[p.Sequence]
	if waiting == nil || len(p.AckedBy) != 1 || p.AckedBy[0].Instance.Peer != waiting.to {
		return nil
	}
	about := p.AckedBy[0]
	if about.Incarnation != waiting.incarnation {
		d.claim(waiting.to)
		return nil
	}
	delete(d.pings, p.Sequence)
	d.learn(p.AckedBy, now)
	if r := d.records[waiting.to]; r != nil && r.member.Incarnation == about.Incarnation {
		d.revive(r, now)
	}
	return nil
}

func (d *Detector) handleSync(p Packet, _ time.Time) []Outgoing {
	packet := d.packet(Table, 0)
	packet.Updates = d.table()
	return []Outgoing{{To: p.From.Instance.Peer, Packet: packet}}
}

func (d *Detector) handleTable(Packet, time.Time) []Outgoing { return nil }

// reconcile exchanges tables with a member whose table differs, at most once
// per gap, or when the member was out of reach until now.
func (d *Detector) reconcile(from Member, digest uint64, back bool, now time.Time) []Outgoing {
	gap := syncGap
	if back {
		gap = healGap
	}
	if digest == d.digest || !d.synced.IsZero() && now.Sub(d.synced) < gap {
		return nil
	}
	d.synced = now
	packet := d.packet(Sync, 0)
	packet.Updates = d.table()
	return []Outgoing{{To: from.Instance.Peer, Packet: packet}}
}

// claim schedules a ping to find out which incarnation answers at an address.
func (d *Detector) claim(address netip.AddrPort) {
	for _, a := range d.claims {
		if a == address {
			return
		}
	}
	d.claims = append(d.claims, address)
}
