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

// maxAttempts is the greatest number of attempts of one request, including the first
// one, retries and hedges. It bounds the work that one request can cause at targets.
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
	lastResponse *sender.Response
	// isolated means that the request is suspected of crashing targets. It gets a
	// single attempt while no other suspect of the service runs, so that a loss points
	// at one target.
	isolated bool
}

// run starts attempts until the outcome of the request is known.
func (r *race) run(ctx context.Context) *Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.endIsolation()
	if o := r.awaitAdmission(ctx); o != nil {
		return o
	}
	if o := r.beginAttempt(ctx, First); o != nil {
		return o
	}
	delay, ok := r.dispatcher.HedgeDelay(r.request.Policy)
	hedgeTimer := time.NewTimer(delay)
	defer hedgeTimer.Stop()
	if !ok || r.isolated {
		hedgeTimer.Stop()
	}
	for {
		select {
		case a := <-r.results:
			r.running--
			if o := r.handleResult(ctx, a); o != nil {
				return o
			}
		case <-hedgeTimer.C:
			if !r.hedge(ctx) {
				hedgeTimer.Reset(dispatcher.HedgeRetryDelay(delay))
			}
		case <-ctx.Done():
			return r.awaitCanceled(ctx)
		}
	}
}

// dispatcherRequest returns what the request needs from the dispatcher.
func (r *race) dispatcherRequest() dispatcher.Request {
	return dispatcher.Request{
		Policy:   r.request.Policy,
		Deadline: r.request.Deadline,
		Exclude:  r.tried,
		Attempts: r.started,
		Now:      r.handler.Clock(),
	}
}

// beginAttempt waits for a free slot and starts an attempt. If it cannot start one,
// it returns the outcome of the request.
func (r *race) beginAttempt(ctx context.Context, role Role) *Outcome {
	lease, rejection := r.dispatcher.Acquire(ctx, r.dispatcherRequest())
	if rejection != nil {
		return r.rejected(ctx, rejection)
	}
	if now := r.handler.Clock(); !r.maySend(now) {
		lease.Release(dispatcher.Result{Ending: retrier.Unsent}, now)
		// The cause is the deadline even if the process was paused or Permit returned
		// false.
		return r.failureOutcome(CauseDeadline, 0)
	}
	r.startAttempt(ctx, lease, role)
	return nil
}

// maySend reports whether the request may still be sent: its deadline has not
// passed, the process was not paused since the target was chosen, and Permit
// allows it.
func (r *race) maySend(now time.Time) bool {
	if !now.Before(r.request.Deadline) || r.handler.Paused(now) {
		return false
	}
	return r.request.Permit == nil || r.request.Permit(now)
}

// rejected returns the outcome of a request that the dispatcher rejected.
func (r *race) rejected(ctx context.Context, rejection *dispatcher.Rejection) *Outcome {
	if ctx.Err() != nil {
		return r.awaitCanceled(ctx)
	}
	return r.failureOutcome(causeOfRejection[rejection.Cause], rejection.RetryAfter)
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

// failureOutcome returns the outcome of a request for which no attempt succeeded: the
// latest server error if there is one, else unknown if an attempt may have taken
// effect, else not executed.
func (r *race) failureOutcome(cause Cause, retryAfter time.Duration) *Outcome {
	if r.lastResponse != nil {
		return r.done(r.lastResponse)
	}
	if r.mayHaveRun {
		return NewUnknown(cause, retryAfter)
	}
	return NewNotExecuted(cause, retryAfter)
}

// hedge starts a hedge if a slot is free and the budget allows it. It returns true if
// no later call is needed: it has started a hedge, no attempt runs that could be
// hedged, or the request has made maxAttempts attempts.
func (r *race) hedge(ctx context.Context) bool {
	if r.running == 0 || r.started >= maxAttempts {
		return true
	}
	lease, ok := r.dispatcher.Hedge(r.dispatcherRequest(), r.handler.Clock())
	if ok {
		r.startAttempt(ctx, lease, Hedge)
	}
	return ok
}

// startAttempt sends the request to the leased target in a new goroutine.
func (r *race) startAttempt(ctx context.Context, lease *dispatcher.Lease, role Role) {
	r.running++
	r.started++
	r.tried = append(r.tried, lease.Target)
	go func() { r.results <- r.handler.attempt(ctx, r.request, lease, role) }()
}

// handleResult returns the outcome if the result of an attempt decides it.
// Otherwise it returns nil while other attempts run, and retries where that is
// safe once none runs.
func (r *race) handleResult(ctx context.Context, a Attempt) *Outcome {
	if a.Effect == sender.Done && !targetFailed(a.Response) {
		return r.done(a.Response)
	}
	switch {
	case a.Effect == sender.Done:
		r.lastResponse = a.Response
	case a.Effect == sender.Lost:
		r.mayHaveRun = true
	case r.request.OnNotExecuted != nil:
		r.request.OnNotExecuted()
	}
	if r.running > 0 {
		return nil
	}
	if ctx.Err() != nil {
		return r.awaitCanceled(ctx)
	}
	return r.retry(ctx, a)
}

// retry starts a further attempt if the result of the last one allows it, and
// returns the outcome otherwise.
func (r *race) retry(ctx context.Context, a Attempt) *Outcome {
	if r.isolated {
		return r.endSuspected(a)
	}
	if r.started >= maxAttempts {
		return r.failureOutcome(causeOfFailure(a), 0)
	}
	ok, after := r.dispatcher.Retry(r.dispatcherRequest(), ending(a), r.handler.Clock())
	if !ok {
		return r.failureOutcome(causeOfFailure(a), 0)
	}
	if o := r.awaitAdmission(ctx); o != nil {
		return o
	}
	if err := sleep(ctx, after); err != nil {
		return r.awaitCanceled(ctx)
	}
	return r.beginAttempt(ctx, Retry)
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
	case sender.NotExecuted:
		return CauseBusy
	case sender.Lost:
		return CauseConnectionLost
	}
	return CauseNoTarget
}

// done returns the outcome that holds a complete response.
func (r *race) done(a *sender.Response) *Outcome {
	return &Outcome{Kind: Done, Status: a.Status, Header: a.Header, Body: a.Body}
}

// awaitCanceled waits for the results of the canceled attempts and returns the
// outcome. The attempts end at once, and their results show whether the request
// may have taken effect.
func (r *race) awaitCanceled(ctx context.Context) *Outcome {
	for ; r.running > 0; r.running-- {
		a := <-r.results
		if a.Effect == sender.Done {
			return r.done(a.Response)
		}
		r.mayHaveRun = r.mayHaveRun || a.Effect == sender.Lost
	}
	if context.Cause(ctx) == context.Canceled {
		return r.failureOutcome(CauseCanceled, 0)
	}
	return r.failureOutcome(CauseDeadline, 0)
}
