package handler

import (
	"context"
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/dispatcher"
	"oriolecourse.example/oriolecourse/internal/request/queuer"
	"oriolecourse.example/oriolecourse/internal/request/retrier"
)

// attempts bounds the sendings of one request.
const attempts = 3

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
	// alone means that the request is suspected of crashing targets: it gets one
	// attempt, so that a loss points at one target.
	alone bool
}

// run makes attempts until one of them settles the request.
func (c *race) run(ctx context.Context) *Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.leave()
	if o := c.enter(ctx); o != nil {
		return o
	}
	if o := c.begin(ctx, First); o != nil {
		return o
	}
	delay, ok := c.dispatcher.HedgeDelay(c.request.Policy)
	second := time.NewTimer(delay)
	defer second.Stop()
	if !ok || c.alone {
		second.Stop()
	}
	for {
		select {
		case a := <-c.results:
			c.running--
			if o := c.settle(ctx, a); o != nil {
				return o
			}
		case <-second.C:
			if !c.hedge(ctx) {
				second.Reset(dispatcher.HedgeRetryDelay(delay))
			}
		case <-ctx.Done():
			return c.expire(ctx)
		}
	}
}

func (c *race) want() dispatcher.Request {
	return dispatcher.Request{
		Policy:   c.request.Policy,
		Deadline: c.request.Deadline,
		Exclude:  c.tried,
		Attempts: c.made,
		Now:      c.handler.Clock(),
	}
}

// begin waits for room and starts an attempt; an outcome means that it cannot.
func (c *race) begin(ctx context.Context, role Role) *Outcome {
	lease, refusal := c.dispatcher.Acquire(ctx, c.want())
	if refusal != nil {
		return c.refused(ctx, refusal)
	}
	if now := c.handler.Clock(); !c.permitted(now) {
		lease.Release(dispatcher.Result{Ending: retrier.Unsent}, now)
		return c.ended(CauseDeadline, 0)
	}
	c.start(ctx, lease, role)
	return nil
}

// permitted tells whether the request may still be sent: its deadline has not
// passed, and the process was not paused since it chose the target.
func (c *race) permitted(now time.Time) bool {
	if !now.Before(c.request.Deadline) || c.handler.Paused(now) {
		return false
	}
	return c.request.Permit == nil || c.request.Permit(now)
}

// refused turns a refusal of the dispatcher into an outcome.
func (c *race) refused(ctx context.Context, f *dispatcher.Rejection) *Outcome {
	if ctx.Err() != nil {
		return c.expire(ctx)
	}
	return c.ended(causes[f.Cause], f.RetryAfter)
}

// causes maps the refusals of the queue.
var causes = map[queuer.Cause]Cause{
	queuer.NoTarget:            CauseTargets,
	queuer.Full:                CauseBusy,
	queuer.Displaced:           CauseBusy,
	queuer.WaitExpired:         CauseBusy,
	queuer.DeadlineUnreachable: CauseDeadline,
	queuer.Withdrawn:           CauseCanceled,
}

// ended makes the outcome of a request without an answer.
func (c *race) ended(cause Cause, retry time.Duration) *Outcome {
	if c.last != nil {
		return c.answer(c.last)
	}
	if c.lost {
		return NewUnknown(cause, retry)
	}
	return NewNotExecuted(cause, retry)
}

// hedge starts a second try if there is free room and budget for it. It is false
// when a later question may have another answer.
func (c *race) hedge(ctx context.Context) bool {
	if c.running == 0 || c.made >= attempts {
		return true
	}
	lease, ok := c.dispatcher.Hedge(c.want(), c.handler.Clock())
	if ok {
		c.start(ctx, lease, Hedge)
	}
	return ok
}

// start sends the request over a lease in the background.
func (c *race) start(ctx context.Context, lease *dispatcher.Lease, role Role) {
	c.running++
	c.made++
	c.tried = append(c.tried, lease.Target)
	go func() { c.results <- c.handler.attempt(ctx, c.request, lease, role) }()
}

// settle returns the outcome if the attempt decides it, and else tries again
// where that is safe.
func (c *race) settle(ctx context.Context, a Attempt) *Outcome {
	if a.Effect == sender.Done && !failed(a.Response) {
		return c.answer(a.Response)
	}
	switch {
	case a.Effect == sender.Done:
		c.last = a.Response
	case a.Effect == sender.Lost:
		c.lost = true
	case c.request.Disown != nil:
		c.request.Disown()
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
	if c.alone {
		return c.suspected(a)
	}
	if c.made >= attempts {
		return c.ended(reason(a), 0)
	}
	ok, after := c.dispatcher.Retry(c.want(), ending(a), c.handler.Clock())
	if !ok {
		return c.ended(reason(a), 0)
	}
	if o := c.enter(ctx); o != nil {
		return o
	}
	if err := pause(ctx, after); err != nil {
		return c.expire(ctx)
	}
	return c.begin(ctx, Retry)
}

// pause waits, or returns the error of a context that ends before.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
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

// expire waits for the canceled attempts, which end at once, so that the
// outcome says what is really known.
func (c *race) expire(ctx context.Context) *Outcome {
	for ; c.running > 0; c.running-- {
		a := <-c.results
		if a.Effect == sender.Done {
			return c.answer(a.Response)
		}
		c.lost = c.lost || a.Effect == sender.Lost
	}
	if context.Cause(ctx) == context.Canceled {
		return c.ended(CauseCanceled, 0)
	}
	return c.ended(CauseDeadline, 0)
}
