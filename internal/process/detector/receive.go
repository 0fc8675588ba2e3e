package detector

import (
	"net/netip"
	"time"
)

// handlers holds the handler of each type of packet. Receive applies the updates of
// a packet after its handler.
var handlers = [typeCount]func(*Detector, Packet, time.Time) []Outgoing{
	Ping:        (*Detector).handlePing,
	Ack:         (*Detector).handleAck,
	PingRequest: (*Detector).handlePingRequest,
	RelayedAck:  (*Detector).handleRelayedAck,
	Sync:        (*Detector).handleSync,
	Table:       (*Detector).handleTable,
}

// Receive handles a packet and returns the packets to send.
func (d *Detector) Receive(p Packet, now time.Time) []Outgoing {
	if p.Type >= typeCount || p.From.Instance.Peer == d.self.Instance.Peer || p.From.Incarnation == 0 {
		return nil
	}
	if !d.isAck(p) {
		d.applySender(p.From, now)
	}
	// The ack is applied first: it is fresher than the updates in the same packet.
	packets := handlers[p.Type](d, p, now)
	d.applyAll(p.Updates, now)
	return packets
}

// isAck reports whether a packet acks one of the instance's pending pings.
func (d *Detector) isAck(p Packet) bool {
	ping := d.pending[p.Sequence]
	return p.Type == Ack && ping != nil && ping.to == p.From.Instance.Peer
}

func (d *Detector) handlePing(p Packet, _ time.Time) []Outgoing {
	return []Outgoing{{To: p.From.Instance.Peer, Packet: d.packet(Ack, p.Sequence)}}
}

func (d *Detector) handleAck(p Packet, now time.Time) []Outgoing {
	if !d.isAck(p) {
		return nil
	}
	ping := d.pending[p.Sequence]
	delete(d.pending, p.Sequence)
	recovered := d.applyAck(p.From, ping, now)
	if ping.requester.IsValid() {
		packet := d.packet(RelayedAck, ping.requesterSequence)
		packet.AckedBy = []Member{p.From}
		return []Outgoing{{To: ping.requester, Packet: packet}}
	}
	return d.reconcile(p.From, p.Digest, recovered, now)
}

func (d *Detector) handlePingRequest(p Packet, now time.Time) []Outgoing {
	if p.PingAddress == d.self.Instance.Peer {
		return nil
	}
	outgoing := d.newPing(p.PingAddress, now)
	ping := d.pending[outgoing.Packet.Sequence]
	ping.requester = p.From.Instance.Peer
	ping.requesterSequence = p.Sequence
	return []Outgoing{outgoing}
}

// handleRelayedAck handles an ack that a helper passes on. An ack of another
// incarnation than the pinged one only schedules a check.
func (d *Detector) handleRelayedAck(p Packet, now time.Time) []Outgoing {
	ping := d.pending[p.Sequence]
	if ping == nil || len(p.AckedBy) != 1 || p.AckedBy[0].Instance.Peer != ping.to {
		return nil
	}
	member := p.AckedBy[0]
	if member.Incarnation != ping.incarnation {
		d.scheduleCheck(ping.to)
		return nil
	}
	delete(d.pending, p.Sequence)
	d.applyAll(p.AckedBy, now)
	if r := d.records[ping.to]; r != nil && r.member.Incarnation == member.Incarnation {
		d.markAlive(r, now)
	}
	return nil
}

func (d *Detector) handleSync(p Packet, _ time.Time) []Outgoing {
	packet := d.packet(Table, 0)
	packet.Updates = d.table()
	return []Outgoing{{To: p.From.Instance.Peer, Packet: packet}}
}

func (d *Detector) handleTable(Packet, time.Time) []Outgoing { return nil }

// reconcile starts an exchange of tables with a member whose digest differs, at
// most once per minSyncInterval, or per minSyncIntervalAfterRecovery when the
// member has recovered.
func (d *Detector) reconcile(from Member, digest uint64, recovered bool, now time.Time) []Outgoing {
	interval := minSyncInterval
	if recovered {
		interval = minSyncIntervalAfterRecovery
	}
	if digest == d.digest || !d.lastSync.IsZero() && now.Sub(d.lastSync) < interval {
		return nil
	}
	d.lastSync = now
	packet := d.packet(Sync, 0)
	packet.Updates = d.table()
	return []Outgoing{{To: from.Instance.Peer, Packet: packet}}
}

// scheduleCheck schedules a ping to find out which incarnation runs at an address.
func (d *Detector) scheduleCheck(address netip.AddrPort) {
	c := check{member: identity{peer: address}}
	if r := d.records[address]; r != nil {
		c = check{member: r.member.identity(), state: r.member.State, remote: r.member.Instance.Place != d.self.Instance.Place}
	}
	for i := range d.checks {
		if d.checks[i].member.peer == address {
			d.checks[i] = c
			return
		}
	}
	d.checks = append(d.checks, c)
}

// isOpen reports whether a question is still open: the member that it is about is held
// as before.
func (d *Detector) isOpen(c check) bool {
	r := d.records[c.member.peer]
	if r == nil {
		return c.member.incarnation == 0
	}
	return r.member.identity() == c.member && r.member.State == c.state
}
