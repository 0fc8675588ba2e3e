package relayer

import (
	"math/rand/v2"
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
	if delay := r.pullDelay(a.Stamps); delay > 0 {
		r.spawn(func() {
			r.sleep(delay)
			r.applyConfirmation(l, a.Stamps, time.Now())
		})
		return nil
	}
	r.applyConfirmation(l, a.Stamps, now)
	return nil
}

func (r *Relayer) applyConfirmation(l *link, stamps [documentKindCount]stamp, now time.Time) {
	r.pullNewer(l, stamps, now)
	if r.options.OnConfirmation != nil {
		r.options.OnConfirmation(l.peer, now)
	}
}

const (
	// pullSpacing is the mean time between two members of a place that ask the confirming
	// one for a document. Meanwhile most of them get it from others.
	pullSpacing = 3 * time.Millisecond
	// maxPullDelay is short compared with the two seconds within which a change must take
	// effect.
	maxPullDelay = 300 * time.Millisecond
	// smallPlace is the largest number of members of a place that ask at once.
	smallPlace = 8
)

// pullDelay returns how long to wait before confirmed documents are pulled. It is random
// in a large place, whose members would all ask the confirming one at once while the
// documents still spread, and 0 if the documents are in force here.
func (r *Relayer) pullDelay(confirmed [documentKindCount]stamp) time.Duration {
	inForce, newer := r.stamps(), false
	for k := range documentKindCount {
		newer = newer || confirmed[k].newer(inForce[k])
	}
	members := len(sample(r.Members(), r.options.Self.Place, len(r.Members())))
	if !newer || members <= smallPlace {
		return 0
	}
	return rand.N(min(time.Duration(members)*pullSpacing, maxPullDelay))
}
