package relayer

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// vouchDelay is the time in which new documents spread within the place by
// announcements, some ten milliseconds a hop, before they are vouched for.
const vouchDelay = 100 * time.Millisecond

// ConfirmDocuments tells the live members of this instance's place that the documents held
// here are current. Those that hold older ones pull them. New documents are
// vouched for a little later: if all members pulled them from here at once, a
// large place would choke this instance's link.
func (r *Relayer) ConfirmDocuments() {
	a := &announcement{Stamps: r.stamps()}
	if before := r.vouched.Swap(a); before == nil || before.Stamps == a.Stamps {
		r.send(sample(r.Members(), r.options.Self.Place, len(r.Members())), kindVouch, a)
		return
	}
	r.spawn(func() {
		r.pause(r.delay)
		r.send(sample(r.Members(), r.options.Self.Place, len(r.Members())), kindVouch, a)
	})
}

func (r *Relayer) handleVouch(l *link, m framer.Message, now time.Time) error {
	a := announcement{}
	if err := m.Decode(&a); err != nil {
		return err
	}
	r.compare(l, a.Stamps, now)
	if r.options.OnConfirmation != nil {
		r.options.OnConfirmation(l.peer, now)
	}
	return nil
}
