package relayer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// sendPacket sends a packet of the detector with the stamps of the documents and
// with rumors on it. An answer goes by the link that the question came on.
func (r *Relayer) sendPacket(via *link, a detector.Action, now time.Time) error {
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
	r.stepVia(l, now, func(d *detector.Detector) []detector.Action { return d.Receive(e.Packet, now) })
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

// push sends a message to a few random members that are believed alive; the
// empty place is any.
func (r *Relayer) push(place string, kind framer.Kind, value any) {
	var live []netip.AddrPort
	for _, m := range r.Members() {
		if m.State == detector.Alive && (place == "" || m.Instance.Place == place) {
			live = append(live, m.Instance.Peer)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, a := range live[:min(fanout, len(live))] {
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
