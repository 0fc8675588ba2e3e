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
)

// attempts bounds the sendings of one request.
const attempts = 3

// propagator writes the standard trace header.
var propagator = propagation.TraceContext{}

// race is the life of one request: its attempts, of which the first whole
// answer wins.
type race struct {
	handler    *Handler
	request    *Request
	dispatcher *dispatcher.Dispatcher
	// results receives each attempt once; it has room for all of them.
	results chan Attempt
	// running counts the attempts whose result has not been received.
	running int
	// made counts all attempts.
	made int
	// tried holds the targets of all attempts.
	tried []netip.AddrPort
	// lost means that an attempt was sent and may have taken effect.
	lost bool
	// last is the newest answer of a target that did not end the race.
	last *sender.Answer
}

// run makes attempts until one of them settles the request.
func (c *race) run(ctx context.Context) *Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o := c.begin(ctx, First); o != nil {
		return o
	}
	second := c.timer()
	defer second.Stop()
	for {
		select {
		case a := <-c.results:
			c.running--
			if o := c.settle(ctx, a); o != nil {
				return o
			}
		case <-second.C:
			c.hedge(ctx)
		case <-ctx.Done():
			return c.expire(ctx)
		}
	}
}

// timer fires when a second try is due, or never.
func (c *race) timer() *time.Timer {
	p := c.request.Policy
	if p.Once || p.Hedge <= 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(p.Hedge)
}

func (c *race) want() dispatcher.Want {
	return dispatcher.Want{
		Policy:   c.request.Policy,
		Deadline: c.request.Deadline,
		Exclude:  c.tried,
		Now:      c.handler.Clock(),
	}
}

// begin waits for room and starts an attempt; an outcome means that it cannot.
func (c *race) begin(ctx context.Context, role Role) *Outcome {
	lease, refusal := c.dispatcher.Acquire(ctx, c.want())
	if refusal != nil {
		return c.refused(ctx, refusal)
	}
	if now := c.handler.Clock(); !now.Before(c.request.Deadline) {
		lease.Release(dispatcher.Result{Kind: dispatcher.Cancelled}, now)
		return c.ended(CauseDeadline, 0)
	}
	c.start(ctx, lease, role)
	return nil
}

// refused turns a refusal of the dispatcher into an outcome.
func (c *race) refused(ctx context.Context, f *dispatcher.Refusal) *Outcome {
	if ctx.Err() != nil {
		return c.expire(ctx)
	}
	return c.ended(causes[f.Cause], f.Retry)
}

// causes maps the dispatcher's refusals.
var causes = map[dispatcher.Cause]Cause{
	dispatcher.CauseFull:      CauseBusy,
	dispatcher.CauseDeadline:  CauseDeadline,
	dispatcher.CauseTargets:   CauseTargets,
	dispatcher.CauseCancelled: CauseCancelled,
}

// ended makes the outcome of a request without an answer.
func (c *race) ended(cause Cause, retry time.Duration) *Outcome {
	if c.last != nil {
		return c.answer(c.last)
	}
	if c.lost {
		return Doubt(cause, retry)
	}
	return Refuse(cause, retry)
}

// hedge starts a second try if there is free room and budget for it.
func (c *race) hedge(ctx context.Context) {
	if c.running == 0 || c.made >= attempts {
		return
	}
	now := c.handler.Clock()
	if c.handler.Suspected(c.request, now) {
		return
	}
	if lease, ok := c.dispatcher.Hedge(c.want(), now); ok {
		c.start(ctx, lease, Second)
	}
}

// start sends the request over a lease in the background.
func (c *race) start(ctx context.Context, lease *dispatcher.Lease, role Role) {
	c.running++
	c.made++
	c.tried = append(c.tried, lease.Target.Address)
	go func() { c.results <- c.handler.attempt(ctx, c.request, lease, role) }()
}

// attempt sends the request once and releases the lease.
func (h *Handler) attempt(ctx context.Context, r *Request, lease *dispatcher.Lease, role Role) Attempt {
	begun := h.Clock()
	ctx, span := h.Tracer.Start(ctx, "send", oteltrace.WithSpanKind(oteltrace.SpanKindClient),
		oteltrace.WithAttributes(
			attribute.String("target", lease.Target.Address.String()),
			attribute.String("role", string(role))))
	defer span.End()
	m := r.message(begun)
	propagator.Inject(ctx, propagation.HeaderCarrier(m.Header))
	answer, effect, err := h.Send(ctx, lease.Target.Address, m)
	now := h.Clock()
	a := Attempt{
		Role:      role,
		Target:    lease.Target,
		Effect:    effect,
		Answer:    answer,
		Latency:   now.Sub(begun),
		Sent:      len(r.Body),
		Cancelled: err != nil && ctx.Err() != nil,
	}
	if answer != nil {
		a.Received = len(answer.Body)
		h.Observe(r, lease.Target.Address, answer.Header, now)
	}
	lease.Release(result(a), now)
	h.Account(r, a)
	if effect == sender.Lost && !a.Cancelled {
		h.Broke(r, lease.Target, now)
	}
	return a
}

// result tells the dispatcher how an attempt ended.
func result(a Attempt) dispatcher.Result {
	r := dispatcher.Result{Latency: a.Latency, Kind: kind(a)}
	if a.Answer != nil {
		r.Report = dispatcher.ParseReport(a.Answer.Header)
		r.State = a.Answer.Header.Get("Target-State")
	}
	return r
}

func kind(a Attempt) dispatcher.Kind {
	switch {
	case a.Cancelled:
		return dispatcher.Cancelled
	case a.Effect == sender.Disowned:
		return dispatcher.Shed
	case a.Effect == sender.Lost:
		return dispatcher.Lost
	case a.Effect == sender.Unsent, failed(a.Answer):
		return dispatcher.Failed
	}
	return dispatcher.Done
}

// failed tells answers with which a target reports that it is itself at fault.
func failed(a *sender.Answer) bool {
	return a != nil && a.Status >= http.StatusInternalServerError
}

// settle returns the outcome if the attempt decides it, and else tries again
// where that is safe.
func (c *race) settle(ctx context.Context, a Attempt) *Outcome {
	if a.Effect == sender.Done && !failed(a.Answer) {
		return c.answer(a.Answer)
	}
	switch {
	case a.Effect == sender.Done:
		c.last = a.Answer
	case a.Effect == sender.Lost:
		c.lost = true
	}
	if c.running > 0 {
		return nil
	}
	if ctx.Err() != nil {
		return c.expire(ctx)
	}
	return c.again(ctx, a)
}

// again makes a further attempt if the last one left that open.
func (c *race) again(ctx context.Context, a Attempt) *Outcome {
	now := c.handler.Clock()
	if retry, yes := c.handler.Quarantined(c.request, now); yes {
		return Doubt(CauseQuarantine, retry)
	}
	safe := a.Effect == sender.Unsent || a.Effect == sender.Disowned || !c.request.Policy.Once
	if !safe || c.made >= attempts {
		return c.ended(reason(a), 0)
	}
	ok, after := c.dispatcher.Retry(c.want(), now)
	if !ok {
		return c.ended(reason(a), after)
	}
	return c.begin(ctx, Retry)
}

// reason names why an attempt failed.
func reason(a Attempt) Cause {
	switch a.Effect {
	case sender.Disowned:
		return CauseBusy
	case sender.Lost:
		return CauseBroken
	}
	return CauseTargets
}

// answer makes the outcome of a whole answer.
func (c *race) answer(a *sender.Answer) *Outcome {
	return &Outcome{Kind: Done, Status: a.Status, Header: a.Header, Body: a.Body}
}

// expire waits for the cancelled attempts, which end at once, so that the
// outcome says what is really known.
func (c *race) expire(ctx context.Context) *Outcome {
	for ; c.running > 0; c.running-- {
		a := <-c.results
		if a.Effect == sender.Done {
			return c.answer(a.Answer)
		}
		c.lost = c.lost || a.Effect == sender.Lost
	}
	if context.Cause(ctx) == context.Canceled {
		return c.ended(CauseCancelled, 0)
	}
	return c.ended(CauseDeadline, 0)
}
