package handler

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	oteltrace "go.opentelemetry.io/otel/trace"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/dispatcher"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
)

// Handler carries requests. All fields are set before the first use.
type Handler struct {
	// Dispatcher returns the decider of a service.
	Dispatcher func(place, service string) *dispatcher.Dispatcher
	// Paused tells that the process has been paused and has not yet asked its peers
	// what has changed.
	Paused func(now time.Time) bool
	// Quarantine contains requests that crash their targets.
	Quarantine *quarantiner.Table
	// Send sends one request to one target.
	Send func(ctx context.Context, target netip.AddrPort, r sender.Request) (*sender.Answer, sender.Effect, error)
	// TargetStart names the run of a target's process, empty if unknown.
	TargetStart func(r *Request, target netip.AddrPort) string
	// ObserveHeaders reports what the headers of a target's answer say of the target.
	ObserveHeaders func(r *Request, target netip.AddrPort, h http.Header, sent, now time.Time)
	// SpreadRumor spreads a loss to the peers.
	SpreadRumor func(u quarantiner.Rumor)
	// AddCost adds one attempt to the costs.
	AddCost func(r *Request, a Attempt)
	// Clock returns the present time.
	Clock func() time.Time
	// Tracer starts a span for each attempt.
	Tracer oteltrace.Tracer
}

// Handle carries a request to its outcome. The context ends with the caller's
// connection; a request that may run only once goes on without the caller.
func (h *Handler) Handle(ctx context.Context, r *Request) *Outcome {
	if h.Paused(h.Clock()) {
		return NewNotExecuted(CausePaused, 0)
	}
	r.fingerprint = r.sum()
	if r.Policy.Once {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	c := &race{
		handler:    h,
		request:    r,
		dispatcher: h.Dispatcher(r.Policy.Place, r.Policy.Service),
		results:    make(chan Attempt, attempts),
	}
	return c.run(ctx)
}
