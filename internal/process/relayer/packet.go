package relayer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// sendPacket sends a packet of the detector together with the stamps of the
// documents in force and with rumors. via is the link on which the packet that is
// being handled arrived. It may be nil. If it is connected to the receiver, sendPacket
// uses it, otherwise the pooled link.
func (r *Relayer) sendPacket(via *link, o detector.Outgoing, now time.Time) error {
	ctx, cancel := context.WithTimeout(r.context, peerTimeout)
	defer cancel()
	l := via
	if l == nil || l.peer != o.To {
		var err error
		if l, err = r.pool.get(ctx, o.To); err != nil {
			return trace.Wrap(err)
		}
	}
	if o.Packet.Type == detector.Ping {
		l.pingSent.CompareAndSwap(0, int64(time.Since(r.started)))
	}
	l.sendFacts()
	e := envelope{Packet: o.Packet, Stamps: r.stamps(), Rumors: r.rumors.forPacket(r.placeOf(o.To), len(r.Members()), now)}
	return l.send(kindPacket, 0, &e)
}

func (r *Relayer) handlePacket(l *link, m framer.Message, now time.Time) error {
	e := envelope{}
	if err := m.Decode(&e); err != nil {
		return err
	}
	// The packet must name the authenticated peer as its sender.
	if e.Packet.From.Instance.Peer != l.peer || e.Packet.From.Incarnation != l.conn.Remote().Incarnation {
		return &framer.Refusal{Cause: framer.Undecodable}
	}
	if !e.Packet.Type.Known() {
		r.metrics.countUnknown(unknownPacket)
	}
	r.stepVia(l, now, func(d *detector.Detector) []detector.Outgoing { return d.Receive(e.Packet, now) })
	r.receiveRumors(e.Rumors, now)
	r.pullNewer(l, e.Stamps, now)
	return nil
}

// placeOf returns the place of a member, or "" if the member is unknown.
func (r *Relayer) placeOf(peer netip.AddrPort) string {
	for _, m := range r.Members() {
		if m.Instance.Peer == peer {
			return m.Instance.Place
		}
	}
	return ""
}

// pushToPlace sends a message to fanout random alive members of a place, or of all
// places if place is empty.
func (r *Relayer) pushToPlace(place string, kind framer.Kind, value any) {
	r.sendTo(sample(r.Members(), place, fanout), kind, value)
}

// sendTo sends a message to the given members.
func (r *Relayer) sendTo(to []netip.AddrPort, kind framer.Kind, value any) {
	for _, a := range to {
		r.spawn(func() {
			ctx, cancel := context.WithTimeout(r.context, peerTimeout)
			defer cancel()
			if l, err := r.pool.get(ctx, a); err == nil {
				// If it fails, the next pings carry the same stamps and rumors, and the
				// next confirmation replaces a lost one.
				_ = l.send(kind, 0, value)
			}
		})
	}
}

// sample returns up to limit random alive members of a place, or of all places if
// place is empty.
func sample(members []detector.Member, place string, limit int) []netip.AddrPort {
	var alive []netip.AddrPort
	for _, m := range members {
		if m.State == detector.Alive && (place == "" || m.Instance.Place == place) {
			alive = append(alive, m.Instance.Peer)
		}
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(limit, len(alive))]
}

// rumorReceivers returns the members to which a rumor for the whole fleet is pushed.
// Within a place, each instance that receives the rumor pushes it on. Only the
// instance where the rumor originates pushes it to other places, because links
// between places are slower and their traffic may be billed.
func rumorReceivers(members []detector.Member, own string, origin bool) []netip.AddrPort {
	to := sample(members, own, fanout)
	if !origin {
		return to
	}
	var places []string
	for _, m := range members {
		if p := m.Instance.Place; p != own && !slices.Contains(places, p) {
			places = append(places, p)
			to = append(to, sample(members, p, remoteFanout)...)
		}
	}
	return to
}
