package relayer

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// defaultConfirmDelay is the time between a new document and its confirmation.
// Meanwhile announcements spread the document within the place, at about 10 ms per
// hop.
const defaultConfirmDelay = 100 * time.Millisecond

// ConfirmDocuments tells the alive members of this instance's place that its
// documents are current. Members with older documents pull them. Documents that have
// changed since the last confirmation are confirmed after a delay, because otherwise
// all members of a large place would pull them from this instance at once and saturate
// its network link. The first confirmation after the start is sent at once, because
// there is no earlier one to compare with.
func (r *Relayer) ConfirmDocuments() {
	a := &announcement{Stamps: r.stamps()}
	if before := r.lastConfirmed.Swap(a); before == nil || before.Stamps == a.Stamps {
		r.sendTo(sample(r.Members(), r.options.Self.Place, len(r.Members())), kindConfirm, a)
		return
	}
	r.spawn(func() {
		r.sleep(r.confirmDelay)
		r.sendTo(sample(r.Members(), r.options.Self.Place, len(r.Members())), kindConfirm, a)
	})
}

func (r *Relayer) handleConfirm(l *link, m framer.Message, now time.Time) error {
	a := announcement{}
	if err := m.Decode(&a); err != nil {
		return err
	}
	r.pullNewer(l, a.Stamps, now)
	if r.options.OnConfirmation != nil {
		r.options.OnConfirmation(l.peer, now)
	}
	return nil
}
