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

// Handler handles requests. All fields must be set before the first use.
type Handler struct {
	// Dispatcher returns the dispatcher of a service.
	Dispatcher func(place, service string) *dispatcher.Dispatcher
	// Paused reports whether the process was paused and has not yet asked its peers
	// for the changes it missed.
	Paused func(now time.Time) bool
	// Quarantine isolates requests that are suspected of crashing targets and rejects
	// those that are quarantined.
	Quarantine *quarantiner.Table
	// Send sends one request to one target.
	Send func(ctx context.Context, target netip.AddrPort, r sender.Request) (*sender.Response, sender.Effect, error)
	// TargetStart returns the start id of a target's current run, or "" if it is
	// unknown.
	TargetStart func(r *Request, target netip.AddrPort) string
	// ObserveHeaders receives the headers of a target's response, which may hold the
	// start id and the state of the target.
	ObserveHeaders func(r *Request, target netip.AddrPort, h http.Header, sent, now time.Time)
	// SpreadRumor sends a rumor of the quarantine to the peers.
	SpreadRumor func(rumor quarantiner.Rumor)
	// AddCost adds one attempt to the cost of the request's kind.
	AddCost func(r *Request, a Attempt)
	// Clock returns the current time.
	Clock func() time.Time
	// Tracer starts a span for each attempt.
	Tracer oteltrace.Tracer
}

// Handle runs a request to its end and returns its outcome. The context ends with
// the caller's connection, which cancels an idempotent request. A request that runs
// at most once continues until its deadline.
func (h *Handler) Handle(ctx context.Context, r *Request) *Outcome {
	if h.Paused(h.Clock()) {
		return NewNotExecuted(CausePaused, 0)
	}
	r.fingerprint = r.contentFingerprint()
	if r.Policy.AtMostOnce {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	attempts := &race{
		handler:    h,
		request:    r,
		dispatcher: h.Dispatcher(r.Policy.Place, r.Policy.Service),
		results:    make(chan Attempt, maxAttempts),
	}
	return attempts.run(ctx)
}
