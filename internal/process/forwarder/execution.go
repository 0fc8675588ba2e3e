package forwarder

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/connection/exchanger"
	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/request/placer"
)

const (
	// maxTargets is the number of tried targets after which a failed attempt is no
	// longer retried. It bounds the attempts that are not sent, for example because
	// targets refuse connections, since Route.MaxAttempts does not count them. It does
	// not limit hedges.
	maxTargets = 4
	// hedgeSlowdown is the multiple of the expected time after which a request is
	// hedged: a copy is sent to another target.
	hedgeSlowdown = 3.0
	// minHedgeDelay is the least time before a request is hedged, since the time of
	// work varies even at a healthy target.
	minHedgeDelay = 150 * time.Millisecond
	// undecidedRetryAfter is the time after which a client may retry if the placer did not
	// decide by the deadline.
	undecidedRetryAfter = 150 * time.Millisecond
)

// result describes a finished attempt. response is nil unless a complete response
// arrived.
type result struct {
	grant *placer.Grant
	sent  time.Time
	// withheld is the time until the target takes a further request, if the request was
	// not sent because of its limit.
	withheld time.Duration
	// revoked means that the request was not sent because the target has become unusable
	// since the grant.
	revoked  bool
	response *sender.Response
	effect   sender.Effect
	err      error
	// attempt is the attempt's context.
	attempt attempt
}

// execution makes the attempts at one request. Only the goroutine that calls run
// uses its fields; other goroutines send on the channels.
type execution struct {
	*request
	// base is the context of the request. It ends after the response has been read from its
	// target. ctx ends with the attempts other than the one that a response streams from.
	base, ctx context.Context
	cancel    context.CancelFunc
	// finish is called after the last byte of the response has been read.
	finish func()
	// streams means that the rest of the response is still being read.
	streams    bool
	decisions  chan decision
	results    chan result
	hedgeTimer *time.Timer
	// current is the grant of the latest attempt. overdue is the latest one that was reported
	// as slow, and dropped the latest one whose request the target has dropped.
	current, overdue, dropped *placer.Grant
	// tried holds the IDs of the targets that were tried.
	tried []string
	// sent counts the attempts that may have reached a target.
	sent int
	// running is the number of attempts in progress. placing is the number of decisions
	// that the placer has still to make.
	running, placing int
	// returned means that the client has probably been rejected before.
	returned bool
	// allUnsent means that an attempt could not be sent, and no target has responded.
	allUnsent bool
	// lastResponse is the latest complete response with a status of 500 or above. The
	// client gets it if no other attempt succeeds.
	lastResponse *sender.Response
	// rejection is the latest rejection by the placer.
	rejection *placer.Rejection
}

func newExecution(ctx context.Context, r *request, finish func()) *execution {
	// No send on these channels blocks: a retry starts only when nothing else is in
	// progress, and a hedge beside one attempt, so at most two values are outstanding.
	e := &execution{request: r, base: ctx, finish: finish, decisions: make(chan decision, maxTargets+2), results: make(chan result, maxTargets+2)}
	e.ctx, e.cancel = context.WithCancel(ctx)
	e.hedgeTimer = time.NewTimer(never)
	return e
}

// run makes the attempts and returns the response for the client.
func (e *execution) run() (*acceptor.Response, outcome) {
	defer e.hedgeTimer.Stop()
	defer e.end()
	e.place(false)
	for e.running+e.placing > 0 {
		select {
		case d := <-e.decisions:
			e.placing--
			e.handleDecision(d)
		case r := <-e.results:
			e.running--
			if response := e.handleResult(r); response != nil {
				return response, outcomeOf(response.Status)
			}
		case <-e.hedgeTimer.C:
			e.startHedge()
		case <-e.ctx.Done():
			return e.abandon()
		}
	}
	return e.conclude()
}

// outcomeOf returns the outcome of a request that gets a target's response, or one in place of it.
func outcomeOf(status int) outcome {
	if status >= http.StatusInternalServerError {
		return failed
	}
	return answered
}

// place asks the placer for a target.
func (e *execution) place(hedge bool) {
	e.placing++
	t := e.ticket(hedge, e.tried)
	start := time.Now()
	go func() {
		d := e.service.place(e.ctx, t)
		e.forwarder.counters.wait.RecordDuration(time.Since(start))
		e.decisions <- d
	}()
}

// handleDecision starts the attempt that the placer granted, or records the
// rejection. A grant that arrives after the request has ended is given back.
func (e *execution) handleDecision(d decision) {
	switch {
	case d.rejection != nil:
		e.rejection = d.rejection
		e.recordRejection(d.rejection)
	case d.grant != nil && e.ctx.Err() != nil:
		e.service.end(d.grant, placer.Canceled, nil, time.Now())
	case d.grant != nil:
		e.startAttempt(d.grant)
	}
}

// startAttempt sends the request to the granted target and sets the hedge timer.
func (e *execution) startAttempt(g *placer.Grant) {
	now := time.Now()
	e.forwarder.counters.reportAge.RecordDuration(g.ReportAge)
	_ = level.Info(e.logger).Log("msg", "placed", "service", e.service.name, "target", g.Target.ID,
		"address", g.Target.Address, "waited", now.Sub(e.Arrived), "expected", g.Expected, "age", g.ReportAge,
		"busy", g.ActiveRequests, "late", g.MissesObjective, "abroad", g.Remote, "attempt", e.sent+1, "version", e.version)
	e.tried = append(e.tried[:len(e.tried):len(e.tried)], g.Target.ID)
	e.sent++
	e.running++
	e.current = g
	e.hedgeTimer.Reset(max(time.Duration(hedgeSlowdown*float64(g.Expected)), minHedgeDelay))
	q, a := e.outgoing(g, now), e.newAttempt()
	go func() {
		if wait := e.service.permit(e.ctx, g.Target); wait > 0 {
			e.results <- result{grant: g, sent: now, withheld: wait, attempt: a}
			return
		}
		if !e.service.isUsable(g.Target.ID) {
			e.results <- result{grant: g, sent: now, revoked: true, attempt: a}
			return
		}
		a.ended = e.forwarder.countSent(g.Target.Zone)
		response, effect, err := e.forwarder.exchanger.Send(a.ctx, g.Target.Address, q)
		if err != nil || response.Rest == nil {
			a.ended()
		}
		// Another run responds with status 421.
		if err == nil && response.Status != http.StatusMisdirectedRequest {
			e.service.observe(g.Target, response, forRequest, time.Now())
		}
		e.results <- result{grant: g, sent: now, response: response, effect: effect, err: err, attempt: a}
	}()
}

// outgoing returns the request that is sent to a target.
func (e *execution) outgoing(g *placer.Grant, now time.Time) *exchanger.Request {
	d := e.forwarder.options.Dialect
	h := e.Header.Clone()
	h.Set(d.Deadline, strconv.FormatInt(max(e.deadline.Sub(now).Milliseconds(), 1), 10))
	h.Set(d.Target, g.Target.Name)
	return &exchanger.Request{
		Method: e.Method, Path: e.RequestURI, Host: e.Host, Header: h, Body: e.Body,
		IDHeader: d.RequestID, NotExecuted: d.NotExecuted, NonIdempotent: !e.route.Idempotent, MaxConnections: e.service.maxConnections(),
		Stream: !e.isRelayed,
	}
}

// handleResult handles the result of an attempt. It returns the response for the
// client, or nil if there is none yet; then it may have started a retry.
func (e *execution) handleResult(r result) *acceptor.Response {
	now := time.Now()
	if r.withheld > 0 || r.revoked {
		r.attempt.end()
		e.handleWithheld(r, now)
		return nil
	}
	e.returned = e.returned || r.grant.Ticket.Returned
	e.recordResult(r, now)
	e.forwarder.counters.countAttempt(e.service.name, effectNames[r.effect])
	status := 0
	if r.response != nil {
		status = r.response.Status
	}
	if r.effect != sender.Done || status >= http.StatusInternalServerError {
		_ = level.Warn(e.logger).Log("msg", "attempt failed", "service", e.service.name, "target", r.grant.Target.ID,
			"effect", effectNames[r.effect], "status", status, "took", now.Sub(r.sent), "err", r.err)
	}
	switch r.effect {
	case sender.Unsent:
		e.sent--
		e.allUnsent = e.allUnsent || len(e.tried) == 1
	case sender.Lost:
		e.mayHaveRun = true
	case sender.NotExecuted:
		e.allUnsent = false
	case sender.Done:
		e.mayHaveRun = true
		r = e.replaceFalseRefusal(r, now)
		if status < http.StatusInternalServerError {
			return e.clientResponse(r)
		}
		e.keepFailure(r.response)
	}
	if e.running+e.placing == 0 && now.Before(e.deadline) && e.takeRetry(r, now) {
		e.place(false)
	}
	return nil
}

// handleWithheld handles an attempt that was not sent because of the target's limit or
// because the target has become unusable. The request goes back to the placer, unless it is
// a hedge whose original still runs.
func (e *execution) handleWithheld(r result, now time.Time) {
	if r.revoked {
		e.forwarder.counters.countRevoked(e.service.name)
		_ = level.Info(e.logger).Log("msg", "not sent", "service", e.service.name, "target", r.grant.Target.ID)
	}
	e.sent--
	e.tried = slices.DeleteFunc(e.tried, func(id string) bool { return id == r.grant.Target.ID })
	e.service.withhold(r.grant, r.withheld, now)
	if e.running+e.placing == 0 && now.Before(e.deadline) {
		e.place(false)
	}
}

// takeRetry reports whether the request may be sent to another target after an
// attempt. It takes the retry from the budget unless the attempt was not sent.
func (e *execution) takeRetry(r result, now time.Time) bool {
	switch {
	case len(e.tried) >= maxTargets || e.sent >= e.route.MaxAttempts:
		return false
	case r.effect == sender.Unsent:
		return true
	case r.effect != sender.NotExecuted && !e.route.Idempotent:
		return false
	case r.effect == sender.NotExecuted:
		return e.service.takeRetryAfterShed(e.route.Priority, e.returned, now)
	}
	return e.service.takeRetry(e.route.Priority, now)
}

// recordResult reports the result of an attempt to the placer and the quarantiner,
// and a replaced target to Options.OnTargetReplaced.
func (e *execution) recordResult(r result, now time.Time) {
	f := e.forwarder
	run := quarantiner.Run{Address: r.grant.Target.Address, Start: r.grant.Target.ID}
	s := quarantiner.Service{Service: e.service.name}
	if (e.ctx.Err() != nil || r.grant == e.dropped) && r.err != nil {
		// What became of the request says nothing about the target.
		r.attempt.end()
		e.service.end(r.grant, placer.Canceled, nil, now)
		return
	}
	ending := placer.Served
	var load *placer.Load
	if r.response != nil {
		e.service.recordAnswer(now)
		if l, reported := f.options.Dialect.Load(r.response.Header); reported {
			load = &l
		}
		f.quarantiner.RecordResponse(run, r.sent, now)
	}
	switch {
	case r.effect == sender.NotExecuted:
		ending = placer.Shed
		if r.response.Status == http.StatusMisdirectedRequest {
			f.options.OnTargetReplaced(r.grant.Target.ID, now)
		}
	case r.effect == sender.Lost:
		ending = placer.NoCompleteResponse
		f.options.SpreadRumor(f.quarantiner.RecordLoss(s, e.fingerprint, run, now), now)
	case r.effect == sender.Unsent:
		// A request that was not sent counts the same.
		ending = placer.NoCompleteResponse
	case r.response.Status >= http.StatusInternalServerError:
		ending = placer.Failed
	}
	if r.effect == sender.Done && r.response.Rest == nil {
		e.recordCompletion(now)
	}
	if r.response != nil && r.response.Rest != nil {
		e.service.report(r.grant, load, now)
		return
	}
	r.attempt.end()
	e.service.end(r.grant, ending, load, now)
}

// abandon returns the response to a request whose client has disconnected or whose
// deadline has passed. The status is 503 if the deadline has passed, no attempt is in
// progress and no target can have run the request. Otherwise it is 504.
func (e *execution) abandon() (*acceptor.Response, outcome) {
	if time.Now().Before(e.deadline) {
		return &acceptor.Response{Status: http.StatusGatewayTimeout}, clientLeft
	}
	if e.running == 0 && !e.mayHaveRun {
		return e.forwarder.rejection(undecidedRetryAfter), rejected
	}
	return &acceptor.Response{Status: http.StatusGatewayTimeout}, timedOut
}

// keepFailure keeps a response for the client in place of an earlier one, or none. Its body
// counts until the end of the execution; after that, the acceptor counts what it writes.
func (e *execution) keepFailure(response *sender.Response) {
	m := e.forwarder.options.WholeMemory
	if e.lastResponse != nil {
		m.Release(int64(len(e.lastResponse.Body)))
	}
	if e.lastResponse = response; response != nil {
		m.Force(int64(len(response.Body)))
	}
}

// end ends what is still in progress except for the rest of the response.
func (e *execution) end() {
	e.keepFailure(nil)
	e.cancelRemaining()
	if !e.streams {
		e.finish()
	}
}

// cancelRemaining cancels the attempts and decisions that are still in progress. It
// reports the end of each attempt to the placer, which then counts its slot as free.
func (e *execution) cancelRemaining() {
	e.cancel()
	running, placing := e.running, e.placing
	go func() {
		for range placing {
			if d := <-e.decisions; d.grant != nil {
				e.service.end(d.grant, placer.Canceled, nil, time.Now())
			}
		}
		for range running {
			r := <-e.results
			r.discard()
			e.service.end(r.grant, placer.Canceled, nil, time.Now())
		}
	}()
}

// conclude returns the response to a request that has no attempt in progress and
// gets no further one.
func (e *execution) conclude() (*acceptor.Response, outcome) {
	switch {
	case e.lastResponse != nil:
		return &acceptor.Response{Status: e.lastResponse.Status, Header: e.lastResponse.Header, Body: e.lastResponse.Body}, failed
	case e.isUnreached():
		return nil, unreached
	case e.mayHaveRun && !time.Now().Before(e.deadline):
		// The attempt ended because the deadline has passed.
		return &acceptor.Response{Status: http.StatusGatewayTimeout}, timedOut
	case e.mayHaveRun:
		return &acceptor.Response{Status: http.StatusBadGateway}, unknown
	case e.rejection != nil:
		return e.forwarder.rejection(e.rejection.RetryAfter), rejected
	}
	return e.forwarder.rejection(e.service.retryAfterShed(time.Now())), rejected
}

// isUnreached reports whether another instance may serve the request, because this one is
// cut off from the targets, could send it to none of those that it tried, or stops. Clients of
// an instance that stops return to another one themselves.
func (e *execution) isUnreached() bool {
	if e.rejection != nil && e.rejection.Reason == placer.Stopping {
		return e.isRelayed && !e.mayHaveRun
	}
	if e.rejection != nil {
		return e.rejection.Reason == placer.CutOff && (!e.mayHaveRun || e.route.Idempotent)
	}
	return e.allUnsent && !e.mayHaveRun && e.forwarder.options.CanRelay()
}

// effectNames holds the names of effects in logs and metrics.
var effectNames = map[sender.Effect]string{
	sender.Unsent: "unsent", sender.NotExecuted: "disowned", sender.Done: "done", sender.Lost: "lost",
}
