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

// Role tells why an attempt was made.
type Role string

// The roles of attempts.
const (
	First Role = "first"
	Retry Role = "retry"
	Hedge Role = "second"
)

// Attempt is one sending of a request to a target.
type Attempt struct {
	Role   Role
	Target netip.AddrPort
	Effect sender.Effect
	// Response is nil unless the effect is Done or Disowned.
	Response *sender.Answer
	// Latency is the time from the sending to the whole answer.
	Latency time.Duration
	// SentBytes and ReceivedBytes are body bytes.
	SentBytes, ReceivedBytes int
	// Canceled means that the instance itself gave the attempt up.
	Canceled bool
}

// attempt sends the request once and releases the lease.
func (h *Handler) attempt(ctx context.Context, r *Request, lease *dispatcher.Lease, role Role) Attempt {
	begun := h.Clock()
	// A crash is that of the run that got the request, which its follower may
	// have replaced by the time the loss is known.
	run := quarantiner.Run{Address: lease.Target, Start: h.TargetStart(r, lease.Target)}
	ctx, span := h.Tracer.Start(ctx, "send", oteltrace.WithSpanKind(oteltrace.SpanKindClient),
		oteltrace.WithAttributes(
			attribute.String("target", lease.Target.String()),
			attribute.String("role", string(role))))
	defer span.End()
	m := r.message(begun)
	tracer.Propagator.Inject(ctx, propagation.HeaderCarrier(m.Header))
	answer, effect, err := h.Send(ctx, lease.Target, m)
	now := h.Clock()
	a := Attempt{
		Role:      role,
		Target:    lease.Target,
		Effect:    effect,
		Response:  answer,
		Latency:   now.Sub(begun),
		SentBytes: len(r.Body),
		Canceled:  err != nil && ctx.Err() != nil,
	}
	if answer != nil {
		a.ReceivedBytes = len(answer.Body)
		h.ObserveHeaders(r, lease.Target, answer.Header, begun, now)
	}
	lease.Release(h.result(r, a, now), now)
	h.AddCost(r, a)
	h.judge(r, a, run, begun, now)
	return a
}

// judge reports to the quarantine how the target fared with the request.
func (h *Handler) judge(r *Request, a Attempt, run quarantiner.Run, begun, now time.Time) {
	switch {
	case a.Response != nil:
		if start := a.Response.Header.Get(HeaderStart); start != "" {
			run.Start = start
		}
		h.Quarantine.RecordResponse(run, begun, now)
		// An answer that the request was shed says nothing of what it does.
		if a.Effect != sender.Done {
			return
		}
		if told, ok := h.Quarantine.RecordCompletion(r.service(), r.fingerprint, now); ok {
			h.SpreadRumor(told)
		}
	case a.Effect == sender.Lost && !a.Canceled:
		h.SpreadRumor(h.Quarantine.RecordLoss(r.service(), r.fingerprint, run, now))
	}
}

// result tells the dispatcher how an attempt ended.
func (h *Handler) result(r *Request, a Attempt, now time.Time) dispatcher.Result {
	d := dispatcher.Result{Latency: a.Latency, Ending: ending(a)}
	if a.Response != nil {
		d.Report = dispatcher.ParseReport(a.Response.Header.Get(HeaderReport))
		d.State = a.Response.Header.Get(HeaderState)
	}
	if d.Ending == retrier.Lost && h.Quarantine.IsSuspect(r.fingerprint, now) {
		// A request that is suspected of crashing targets says nothing of theirs.
		d.Ending = retrier.Canceled
	}
	return d
}

func ending(a Attempt) retrier.Ending {
	switch {
	case a.Canceled:
		return retrier.Canceled
	case a.Effect == sender.Disowned:
		return retrier.Shed
	case a.Effect == sender.Lost:
		return retrier.Lost
	case a.Effect == sender.Unsent:
		return retrier.Unsent
	case failed(a.Response):
		return retrier.Failed
	}
	return retrier.Done
}

// failed tells answers with which a target reports that it is itself at fault.
func failed(a *sender.Answer) bool {
	return a != nil && a.Status >= http.StatusInternalServerError
}
