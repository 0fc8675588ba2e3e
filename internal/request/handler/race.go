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

// maxAttempts is the greatest number of attempts of one request, the first one,
// retries and hedges included.
const maxAttempts = 3

// race runs the attempts of one request. The first complete response that is not
// a server error wins; the attempts that still run are canceled.
type race struct {
	handler    *Handler
	request    *Request
	dispatcher *dispatcher.Dispatcher
	// results receives the result of each attempt. Its buffer holds all of them, so
	// that no attempt blocks after the race has ended.
	results chan Attempt
	// running is the number of attempts whose result has not been received.
	running int
	// started is the number of attempts started so far.
	started int
	// tried holds the targets of all attempts.
	tried []netip.AddrPort
	// mayHaveRun means that an attempt was sent and got no complete response, so it
	// may have taken effect.
	mayHaveRun bool
	// lastResponse is the latest server error of a target.
	lastResponse *sender.Answer
	// isolated means that the request is suspected of crashing targets. It gets a
	// single attempt while no other suspect runs, so that a loss points at one target.
	isolated bool
}

// run starts attempts until the outcome of the request is known.
func (c *race) run(ctx context.Context) *Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.leaveQuarantine()
	if o := c.enterQuarantine(ctx); o != nil {
		return o
	}
	if o := c.beginAttempt(ctx, First); o != nil {
		return o
	}
	delay, ok := c.dispatcher.HedgeDelay(c.request.Policy)
	hedgeTimer := time.NewTimer(delay)
	defer hedgeTimer.Stop()
	if !ok || c.isolated {
		hedgeTimer.Stop()
	}
	for {
		select {
		case a := <-c.results:
			c.running--
			if o := c.handleResult(ctx, a); o != nil {
				return o
			}
		case <-hedgeTimer.C:
			if !c.hedge(ctx) {
				hedgeTimer.Reset(dispatcher.HedgeRetryDelay(delay))
			}
		case <-ctx.Done():
			return c.awaitCanceled(ctx)
		}
	}
}

// dispatcherRequest returns what the request needs from the dispatcher.
func (c *race) dispatcherRequest() dispatcher.Request {
	return dispatcher.Request{
		Policy:   c.request.Policy,
		Deadline: c.request.Deadline,
		Exclude:  c.tried,
		Attempts: c.started,
		Now:      c.handler.Clock(),
	}
}

// beginAttempt waits for a free slot and starts an attempt. If it cannot start one,
// it returns the outcome of the request.
func (c *race) beginAttempt(ctx context.Context, role Role) *Outcome {
	lease, rejection := c.dispatcher.Acquire(ctx, c.dispatcherRequest())
	if rejection != nil {
		return c.rejected(ctx, rejection)
	}
	if now := c.handler.Clock(); !c.maySend(now) {
		lease.Release(dispatcher.Result{Ending: retrier.Unsent}, now)
		return c.endWithoutResponse(CauseDeadline, 0)
	}
	c.startAttempt(ctx, lease, role)
	return nil
}

// maySend reports whether the request may still be sent: its deadline has not
// passed, the process was not paused since the target was chosen, and Permit
// allows it.
func (c *race) maySend(now time.Time) bool {
	if !now.Before(c.request.Deadline) || c.handler.Paused(now) {
		return false
	}
	return c.request.Permit == nil || c.request.Permit(now)
}

// rejected returns the outcome of a request that the dispatcher rejected.
func (c *race) rejected(ctx context.Context, rejection *dispatcher.Rejection) *Outcome {
	if ctx.Err() != nil {
		return c.awaitCanceled(ctx)
	}
	return c.endWithoutResponse(causeOfRejection[rejection.Cause], rejection.RetryAfter)
}

// causeOfRejection maps the queue's causes of a rejection to those of an outcome.
var causeOfRejection = map[queuer.Cause]Cause{
	queuer.NoTarget:            CauseNoTarget,
	queuer.Full:                CauseBusy,
	queuer.Displaced:           CauseBusy,
	queuer.WaitExpired:         CauseBusy,
	queuer.DeadlineUnreachable: CauseDeadline,
	queuer.Withdrawn:           CauseCanceled,
}

// endWithoutResponse returns the outcome of a request for which no attempt
// succeeded: the latest server error if there is one, else unknown if an attempt
// may have taken effect, else not executed.
func (c *race) endWithoutResponse(cause Cause, retryAfter time.Duration) *Outcome {
	if c.lastResponse != nil {
		return c.done(c.lastResponse)
	}
	if c.mayHaveRun {
		return NewUnknown(cause, retryAfter)
	}
	return NewNotExecuted(cause, retryAfter)
}

// hedge starts a hedge if a slot is free and the budget allows it. It returns false
// if it cannot start one now but a later call may.
func (c *race) hedge(ctx context.Context) bool {
	if c.running == 0 || c.started >= maxAttempts {
		return true
	}
	lease, ok := c.dispatcher.Hedge(c.dispatcherRequest(), c.handler.Clock())
	if ok {
		c.startAttempt(ctx, lease, Hedge)
	}
	return ok
}

// startAttempt sends the request to the leased target in a new goroutine.
func (c *race) startAttempt(ctx context.Context, lease *dispatcher.Lease, role Role) {
	c.running++
	c.started++
	c.tried = append(c.tried, lease.Target)
	go func() { c.results <- c.handler.attempt(ctx, c.request, lease, role) }()
}

// handleResult returns the outcome if the result of an attempt decides it.
// Otherwise it returns nil while other attempts run, and retries where that is
// safe once none runs.
func (c *race) handleResult(ctx context.Context, a Attempt) *Outcome {
	if a.Effect == sender.Done && !targetFailed(a.Response) {
		return c.done(a.Response)
	}
	switch {
	case a.Effect == sender.Done:
		c.lastResponse = a.Response
	case a.Effect == sender.Lost:
		c.mayHaveRun = true
	case c.request.OnNotExecuted != nil:
		c.request.OnNotExecuted()
	}
	if c.running > 0 {
		return nil
	}
	if ctx.Err() != nil {
		return c.awaitCanceled(ctx)
	}
	return c.retry(ctx, a)
}

// retry starts a further attempt if the result of the last one allows it, and
// returns the outcome otherwise.
func (c *race) retry(ctx context.Context, a Attempt) *Outcome {
	if c.isolated {
		return c.endSuspected(a)
	}
	if c.started >= maxAttempts {
		return c.endWithoutResponse(causeOfFailure(a), 0)
	}
	ok, after := c.dispatcher.Retry(c.dispatcherRequest(), ending(a), c.handler.Clock())
	if !ok {
		return c.endWithoutResponse(causeOfFailure(a), 0)
	}
	if o := c.enterQuarantine(ctx); o != nil {
		return o
	}
	if err := sleep(ctx, after); err != nil {
		return c.awaitCanceled(ctx)
	}
	return c.beginAttempt(ctx, Retry)
}

// sleep waits for d. It returns the error of the context if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// causeOfFailure returns the cause of an attempt that did not succeed.
func causeOfFailure(a Attempt) Cause {
	switch a.Effect {
	case sender.Disowned:
		return CauseBusy
	case sender.Lost:
		return CauseConnectionLost
	}
	return CauseNoTarget
}

// done returns the outcome that holds a complete response.
func (c *race) done(a *sender.Answer) *Outcome {
	return &Outcome{Kind: Done, Status: a.Status, Header: a.Header, Body: a.Body}
}

// awaitCanceled waits for the results of the canceled attempts and returns the
// outcome. The attempts end at once, and their results show whether the request
// may have taken effect.
func (c *race) awaitCanceled(ctx context.Context) *Outcome {
	for ; c.running > 0; c.running-- {
		a := <-c.results
		if a.Effect == sender.Done {
			return c.done(a.Response)
		}
		c.mayHaveRun = c.mayHaveRun || a.Effect == sender.Lost
	}
	if context.Cause(ctx) == context.Canceled {
		return c.endWithoutResponse(CauseCanceled, 0)
	}
	return c.endWithoutResponse(CauseDeadline, 0)
}
