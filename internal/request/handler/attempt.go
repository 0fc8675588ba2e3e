package handler

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/dispatcher"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/process/tracer"
	"oriolecourse.example/oriolecourse/internal/request/retrier"
)

// Role is the reason for an attempt.
type Role string

// The roles of attempts. Hedge is a copy of a slow idempotent request.
const (
	First Role = "first"
	Retry Role = "retry"
	Hedge Role = "second"
)

// Attempt is the result of sending a request to one target once.
type Attempt struct {
	Role   Role
	Target netip.AddrPort
	Effect sender.Effect
	// Response is nil unless Effect is sender.Done or sender.NotExecuted.
	Response *sender.Response
	// Latency is the time from the start of the attempt to its end, which is the
	// complete response if there is one.
	Latency time.Duration
	// SentBytes and ReceivedBytes count the bytes of the bodies.
	SentBytes, ReceivedBytes int
	// Canceled means that the attempt failed after its context had ended: the caller
	// left, the deadline passed or another attempt won.
	Canceled bool
}

// attempt sends the request once, releases the lease and reports the result.
func (h *Handler) attempt(ctx context.Context, r *Request, lease *dispatcher.Lease, role Role) Attempt {
	sentAt := h.Clock()
	// A loss counts against the run that received the request. The target may have
	// restarted by the time the loss is known, so the run is read before sending.
	run := quarantiner.Run{Address: lease.Target, Start: h.TargetStart(r, lease.Target)}
	ctx, span := h.Tracer.Start(ctx, "send", oteltrace.WithSpanKind(oteltrace.SpanKindClient),
		oteltrace.WithAttributes(
			attribute.String("target", lease.Target.String()),
			attribute.String("role", string(role))))
	defer span.End()
	request := r.senderRequest(sentAt)
	tracer.Propagator.Inject(ctx, propagation.HeaderCarrier(request.Header))
	response, effect, err := h.Send(ctx, lease.Target, request)
	now := h.Clock()
	a := Attempt{
		Role:      role,
		Target:    lease.Target,
		Effect:    effect,
		Response:  response,
		Latency:   now.Sub(sentAt),
		SentBytes: len(r.Body),
		Canceled:  err != nil && ctx.Err() != nil,
	}
	if response != nil {
		a.ReceivedBytes = len(response.Body)
		h.ObserveHeaders(r, lease.Target, response.Header, sentAt, now)
	}
	lease.Release(h.dispatcherResult(r, a, now), now)
	h.AddCost(r, a)
	h.reportToQuarantine(r, a, run, sentAt, now)
	return a
}

// reportToQuarantine records a response or a loss in the quarantine and spreads
// the resulting rumor.
func (h *Handler) reportToQuarantine(r *Request, a Attempt, run quarantiner.Run, sentAt, now time.Time) {
	switch {
	case a.Response != nil:
		if start := a.Response.Header.Get(HeaderStart); start != "" {
			run.Start = start
		}
		h.Quarantine.RecordResponse(run, sentAt, now)
		// The target did not execute the request, so its response does not show
		// whether the request crashes targets.
		if a.Effect != sender.Done {
			return
		}
		if rumor, ok := h.Quarantine.RecordCompletion(r.service(), r.fingerprint, now); ok {
			h.SpreadRumor(rumor)
		}
	case a.Effect == sender.Lost && !a.Canceled:
		h.SpreadRumor(h.Quarantine.RecordLoss(r.service(), r.fingerprint, run, now))
	}
}

// dispatcherResult returns the result of an attempt for the dispatcher.
func (h *Handler) dispatcherResult(r *Request, a Attempt, now time.Time) dispatcher.Result {
	d := dispatcher.Result{Latency: a.Latency, Ending: ending(a)}
	if a.Response != nil {
		d.Report = dispatcher.ParseReport(a.Response.Header.Get(HeaderReport))
		d.State = a.Response.Header.Get(HeaderState)
	}
	if d.Ending == retrier.Lost && h.Quarantine.IsSuspect(r.fingerprint, now) {
		// The request itself may have crashed the target, so the loss does not show
		// that the target is unhealthy.
		d.Ending = retrier.Canceled
	}
	return d
}

// ending returns how an attempt ended, for the retry rules and the dispatcher.
func ending(a Attempt) retrier.Ending {
	switch {
	case a.Canceled:
		return retrier.Canceled
	case a.Effect == sender.NotExecuted:
		return retrier.Shed
	case a.Effect == sender.Lost:
		return retrier.Lost
	case a.Effect == sender.Unsent:
		return retrier.Unsent
	case targetFailed(a.Response):
		return retrier.Failed
	}
	return retrier.Done
}

// targetFailed reports whether the response is a server error (status 500 or above).
func targetFailed(a *sender.Response) bool {
	return a != nil && a.Status >= http.StatusInternalServerError
}
