package relayer

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// findTimeout bounds the search for room on behalf of a peer, which waits little
// longer for the answer: other requests can't use what is told late.
const findTimeout = 20 * time.Millisecond

// TargetOffer is a target with room, as an instance near it sees it.
type TargetOffer struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Target names the run among all runs.
	Target string
	// Running and Waiting count requests of all instances at the target.
	Running, Waiting int
	// Slots is the number of requests that the target works on at once.
	Slots int
	// Slowdown is the time that work takes there at this moment over the usual time.
	Slowdown float32
}

// find asks for targets of a service that have room.
type find struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service string
}

// found answers find.
type found struct {
	_msgpack struct{} `msgpack:",as_array"`

	Findings []TargetOffer
}

// FindTargets asks a peer for targets near it that have room for a request of a service.
func (r *Relayer) FindTargets(ctx context.Context, peer netip.AddrPort, service string) ([]TargetOffer, error) {
	l, err := r.pool.get(ctx, peer)
	if err != nil {
		return nil, err
	}
	a := found{}
	if err := l.call(ctx, kindFind, &find{Service: service}, &a); err != nil {
		return nil, trace.Wrap(err)
	}
	return a.Findings, nil
}

func (r *Relayer) handleFind(l *link, m framer.Message, _ time.Time) error {
	f := find{}
	if err := m.Decode(&f); err != nil {
		return err
	}
	r.spawn(func() {
		a := found{}
		if r.options.Find != nil {
			ctx, cancel := context.WithTimeout(r.context, findTimeout)
			defer cancel()
			a.Findings = r.options.Find(ctx, f.Service)
		}
		// The one who asked hears of a broken connection from the connection.
		_ = l.send(kindFound, m.ID, &a)
	})
	return nil
}
