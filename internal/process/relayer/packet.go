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

// sendPacket sends a packet of the detector with the stamps of the documents and
// with rumors on it. An answer goes by the link that the question came on.
func (r *Relayer) sendPacket(via *link, a detector.Outgoing, now time.Time) error {
	ctx, cancel := context.WithTimeout(r.context, peerTimeout)
	defer cancel()
	l := via
	if l == nil || l.peer != a.To {
		var err error
		if l, err = r.pool.get(ctx, a.To); err != nil {
			return trace.Wrap(err)
		}
	}
	if a.Packet.Type == detector.Ping {
		l.asked.CompareAndSwap(0, int64(time.Since(r.started)))
	}
	e := envelope{Packet: a.Packet, Stamps: r.stamps(), Rumors: r.rumors.take(r.place(a.To), len(r.Members()), now)}
	return l.send(kindPacket, 0, &e)
}

func (r *Relayer) handlePacket(l *link, m framer.Message, now time.Time) error {
	e := envelope{}
	if err := m.Decode(&e); err != nil {
		return err
	}
	if e.Packet.From.Instance.Peer != l.peer || e.Packet.From.Incarnation != l.conn.Remote().Incarnation {
		return &framer.Refusal{Cause: framer.Undecodable}
	}
	r.stepVia(l, now, func(d *detector.Detector) []detector.Outgoing { return d.Receive(e.Packet, now) })
	r.hear(e.Rumors, now)
	r.compare(l, e.Stamps, now)
	return nil
}

// place returns the place of a member, or nothing when it is not known.
func (r *Relayer) place(peer netip.AddrPort) string {
	for _, m := range r.Members() {
		if m.Instance.Peer == peer {
			return m.Instance.Place
		}
	}
	return ""
}

// push sends a message to a few random members of a place that are believed
// alive; the empty place is any.
func (r *Relayer) push(place string, kind framer.Kind, value any) {
	r.send(sample(r.Members(), place, fanout), kind, value)
}

// send sends a message to some members.
func (r *Relayer) send(to []netip.AddrPort, kind framer.Kind, value any) {
	for _, a := range to {
		r.spawn(func() {
			ctx, cancel := context.WithTimeout(r.context, peerTimeout)
			defer cancel()
			if l, err := r.pool.get(ctx, a); err == nil {
				// A push that fails is made good by the next pings.
				_ = l.send(kind, 0, value)
			}
		})
	}
}

// sample returns up to most random members of a place that are believed alive; the
// empty place is any.
func sample(members []detector.Member, place string, most int) []netip.AddrPort {
	var live []netip.AddrPort
	for _, m := range members {
		if m.State == detector.Alive && (place == "" || m.Instance.Place == place) {
			live = append(live, m.Instance.Peer)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(most, len(live))]
}

// audience returns the members to which a rumor of the whole fleet is pushed. In
// the own place it goes on from hop to hop. Other places hear it from the one who
// started it, since links between places are slower and may be charged.
func audience(members []detector.Member, own string, started bool) []netip.AddrPort {
	to := sample(members, own, fanout)
	if !started {
		return to
	}
	var places []string
	for _, m := range members {
		if p := m.Instance.Place; p != own && !slices.Contains(places, p) {
			places = append(places, p)
			to = append(to, sample(members, p, farFanout)...)
		}
	}
	return to
}
