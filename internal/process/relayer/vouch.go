package relayer

import (
	"context"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// Vouch tells the live members of this instance's place that the documents held
// here are current. Those that hold older ones pull them.
func (r *Relayer) Vouch() {
	a := &announcement{Stamps: r.stamps()}
	for _, m := range r.Members() {
		if m.State == detector.Alive && m.Instance.Place == r.options.Self.Place {
			r.spawn(func() {
				ctx, cancel := context.WithTimeout(r.context, peerTimeout)
				defer cancel()
				if l, err := r.pool.get(ctx, m.Instance.Peer); err == nil {
					// A member that hears nothing reads by itself.
					_ = l.send(kindVouch, 0, a)
				}
			})
		}
	}
}

func (r *Relayer) handleVouch(l *link, m framer.Message, now time.Time) error {
	a := announcement{}
	if err := m.Decode(&a); err != nil {
		return err
	}
	r.compare(l, a.Stamps, now)
	if r.options.Vouched != nil {
		r.options.Vouched(l.peer, now)
	}
	return nil
}
