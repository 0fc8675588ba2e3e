package relayer

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// findTimeout bounds the search for free slots on behalf of a peer. The peer's placer
// waits only a little longer for the response (30 ms). Later offers are out of date and
// of no use to the peer's other requests.
const findTimeout = 20 * time.Millisecond

// TargetOffer is a target with free slots, as an instance of its place sees it.
type TargetOffer struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Target identifies the run of the target's process in the whole fleet. It has the
	// form NAME/START, where START is the start of the run in Unix milliseconds.
	Target string
	// Running and Waiting count the requests of all instances at the target.
	Running, Waiting int
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Slowdown is the ratio of the current execution time to the usual one.
	Slowdown float32
}

// findRequest asks for targets of a service with free slots.
type findRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service string
}

// targetOffers is the response to a findRequest.
type targetOffers struct {
	_msgpack struct{} `msgpack:",as_array"`

	Offers []TargetOffer
}

// FindTargets asks a peer for targets of a service with free slots in the peer's
// place.
func (r *Relayer) FindTargets(ctx context.Context, peer netip.AddrPort, service string) ([]TargetOffer, error) {
	l, err := r.pool.get(ctx, peer)
	if err != nil {
		return nil, err
	}
	offers := targetOffers{}
	if err := l.call(ctx, kindFindTargets, &findRequest{Service: service}, &offers); err != nil {
		return nil, trace.Wrap(err)
	}
	return offers.Offers, nil
}

func (r *Relayer) handleFind(l *link, m framer.Message, _ time.Time) error {
	request := findRequest{}
	if err := m.Decode(&request); err != nil {
		return err
	}
	r.spawn(func() {
		offers := targetOffers{}
		if r.options.OfferTargets != nil {
			ctx, cancel := context.WithTimeout(r.context, findTimeout)
			defer cancel()
			offers.Offers = r.options.OfferTargets(ctx, request.Service)
		}
		// The caller detects a broken connection itself.
		_ = l.send(kindTargetOffers, m.ID, &offers)
	})
	return nil
}
