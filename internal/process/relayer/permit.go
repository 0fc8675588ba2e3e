package relayer

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// PermitRequest asks the owner of a limited run of a target whether one more message may
// be sent to the run.
type PermitRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Start identifies the run, Zone is its availability zone.
	Start, Zone string
	// Rate is the limit in requests per second that the sender knows, and Age the time
	// since a response named it.
	Rate float64
	Age  time.Duration
}

// PermitResponse is the response to a PermitRequest.
type PermitResponse struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Wait is 0 if the message may be sent, otherwise the time until the next permit.
	Wait time.Duration
	// Rate is the limit that the owner knows, and Age the time since a response named it.
	Rate float64
	Age  time.Duration
}

// AskPermit asks a peer for a permit.
func (r *Relayer) AskPermit(ctx context.Context, peer netip.AddrPort, q PermitRequest) (PermitResponse, error) {
	l, err := r.pool.get(ctx, peer)
	if err != nil {
		return PermitResponse{}, err
	}
	p := PermitResponse{}
	return p, trace.Wrap(l.call(ctx, kindAskPermit, &q, &p))
}

func (r *Relayer) handleAskPermit(l *link, m framer.Message, now time.Time) error {
	q := PermitRequest{}
	if err := m.Decode(&q); err != nil || r.options.Permit == nil {
		return err
	}
	p := r.options.Permit(q, now)
	// The caller detects a broken connection itself. Sending may block, so it does not
	// hold up the messages that follow.
	r.spawn(func() { _ = l.send(kindPermit, m.ID, &p) })
	return nil
}
