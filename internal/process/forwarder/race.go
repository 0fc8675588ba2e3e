package forwarder

import (
	"context"
	"net/http"
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
	// tries bounds the targets that a request is offered to when none of them got
	// it, such as those that refuse connections.
	tries = 4
	// hedgeFactor is how much longer than expected a request may take before
	// another target is tried beside it.
	hedgeFactor = 3.0
	// hedgeLeast bounds that time from below, for work that varies by itself.
	hedgeLeast = 150 * time.Millisecond
	// disownedReturn is when a client should come back whose request was turned
	// away by targets.
	disownedReturn = 150 * time.Millisecond
)

// result is the end of one attempt.
type result struct {
	grant  *placer.Grant
	sent   time.Time
	answer *sender.Response
	effect sender.Effect
	err    error
}

// race carries one request through its attempts. Only the goroutine that runs it
// uses its fields.
type race struct {
	*request
	ctx       context.Context
	cancel    context.CancelFunc
	decisions chan decision
	results   chan result
	hedge     *time.Timer
	// current is the latest grant.
	current *placer.Grant
	// avoid names the targets that were tried.
	avoid []string
	// sent counts the attempts that may have reached a target.
	sent int
	// running counts attempts under way, placing decisions that are awaited.
	running, placing int
	// ran means that a target may have run the request.
	ran bool
	// last is the latest whole answer of a target that is not passed on yet.
	last *sender.Response
	// refusal is the latest refusal of the placer.
	refusal *placer.Rejection
}

func newRace(ctx context.Context, r *request) *race {
	e := &race{request: r, decisions: make(chan decision, tries+2), results: make(chan result, tries+2)}
	e.ctx, e.cancel = context.WithCancel(ctx)
	e.hedge = time.NewTimer(never)
	return e
}

// run returns the answer to the request.
func (e *race) run() (*acceptor.Response, outcome) {
	defer e.hedge.Stop()
	defer e.reap()
	e.place(false)
	for e.running+e.placing > 0 {
		select {
		case d := <-e.decisions:
			e.placing--
			e.decided(d)
		case r := <-e.results:
			e.running--
			if a := e.ended(r); a != nil {
				return a, answered
			}
		case <-e.hedge.C:
			e.second()
		case <-e.ctx.Done():
			return e.expired()
		}
	}
	return e.conclude()
}

// place asks for a target.
func (e *race) place(extra bool) {
	e.placing++
	t := e.ticket(extra, e.avoid)
	began := time.Now()
	go func() {
		d := e.service.place(e.ctx, t)
		e.forwarder.counters.waited.RecordDuration(time.Since(began))
		e.decisions <- d
	}()
}

// decided starts the attempt that was granted.
func (e *race) decided(d decision) {
	switch {
	case d.refusal != nil:
		e.refusal = d.refusal
		e.forwarder.counters.refused(e.service.name, d.refusal.Reason.String())
		_ = level.Info(e.logger).Log("msg", "not placed", "service", e.service.name, "reason", d.refusal.Reason,
			"extra", d.refusal.Ticket.Hedge, "waited", time.Since(e.Arrived), "return", d.refusal.RetryAfter)
	case d.grant != nil && e.ctx.Err() != nil:
		e.service.end(d.grant, placer.Canceled, nil, time.Now())
	case d.grant != nil:
		e.start(d.grant)
	}
}

func (e *race) start(g *placer.Grant) {
	now := time.Now()
	e.forwarder.counters.age.RecordDuration(g.ReportAge)
	_ = level.Info(e.logger).Log("msg", "placed", "service", e.service.name, "target", g.Target.ID,
		"address", g.Target.Address, "waited", now.Sub(e.Arrived), "expected", g.Expected, "age", g.ReportAge,
		"busy", g.ActiveRequests, "late", g.MissesObjective, "abroad", g.Remote, "attempt", e.sent+1, "version", e.version)
	e.avoid = append(e.avoid[:len(e.avoid):len(e.avoid)], g.Target.ID)
	e.sent++
	e.running++
	e.current = g
	e.hedge.Reset(max(time.Duration(hedgeFactor*float64(g.Expected)), hedgeLeast))
	q := e.outgoing(g, now)
	go func() {
		a, effect, err := e.forwarder.exchanger.Send(e.ctx, g.Target.Address, q)
		e.results <- result{grant: g, sent: now, answer: a, effect: effect, err: err}
	}()
}

// outgoing returns the request as a target gets it.
func (e *race) outgoing(g *placer.Grant, now time.Time) *exchanger.Request {
	d := e.forwarder.options.Dialect
	h := e.Header.Clone()
	h.Set(d.Deadline, strconv.FormatInt(max(e.limit.Sub(now).Milliseconds(), 1), 10))
	h.Set(d.Target, g.Target.Name)
	return &exchanger.Request{
		Method: e.Method, Path: e.RequestURI, Host: e.Host, Header: h, Body: e.Body,
		IDHeader: d.RequestID, NotExecuted: d.NotExecuted, NonIdempotent: !e.route.Idempotent, MaxConnections: e.service.connections(),
	}
}

// ended takes in the end of an attempt and returns the answer if it is final.
func (e *race) ended(r result) *acceptor.Response {
	now := time.Now()
	e.learn(r, now)
	e.forwarder.counters.attempted(e.service.name, effectNames[r.effect])
	status := 0
	if r.answer != nil {
		status = r.answer.Status
	}
	if r.effect != sender.Done || status >= http.StatusInternalServerError {
		_ = level.Warn(e.logger).Log("msg", "attempt failed", "service", e.service.name, "target", r.grant.Target.ID,
			"effect", effectNames[r.effect], "status", status, "took", now.Sub(r.sent), "err", r.err)
	}
	switch r.effect {
	case sender.Unsent:
		e.sent--
	case sender.Lost:
		e.ran = true
	case sender.Done:
		e.ran = true
		if status < http.StatusInternalServerError {
			return pass(r.answer)
		}
		e.last = r.answer
	}
	if e.running+e.placing == 0 && now.Before(e.limit) && e.repeatable(r, now) {
		e.place(false)
	}
	return nil
}

// repeatable reports whether the request may go to another target after an
// attempt, and takes what that costs from the budget.
func (e *race) repeatable(r result, now time.Time) bool {
	switch {
	case len(e.avoid) >= tries || e.sent >= e.route.MaxAttempts:
		return false
	case r.effect == sender.Unsent:
		return true
	case r.effect != sender.NotExecuted && !e.route.Idempotent:
		return false
	}
	return e.service.again(now)
}

// second tries another target beside one that takes much longer than expected,
// which other requests avoid from now on.
func (e *race) second() {
	now := time.Now()
	if e.running != 1 || e.placing > 0 {
		return
	}
	e.service.doubt(e.current, now)
	if !e.route.Idempotent || e.sent >= e.route.MaxAttempts || !e.service.again(now) {
		return
	}
	_ = level.Info(e.logger).Log("msg", "second try", "service", e.service.name, "after", now.Sub(e.Arrived))
	e.place(true)
}

// learn tells the parts that judge targets how an attempt ended.
func (e *race) learn(r result, now time.Time) {
	f := e.forwarder
	run := quarantiner.Run{Address: r.grant.Target.Address, Start: r.grant.Target.ID}
	s := quarantiner.Service{Service: e.service.name}
	if e.ctx.Err() != nil && r.err != nil {
		e.service.end(r.grant, placer.Canceled, nil, now)
		return
	}
	ending := placer.Served
	var load *placer.Load
	if r.answer != nil {
		if l, told := f.options.Dialect.Load(r.answer.Header); told {
			load = &l
		}
		f.quarantiner.RecordResponse(run, r.sent, now)
	}
	switch {
	case r.effect == sender.NotExecuted:
		ending = placer.Shed
		if r.answer.Status == http.StatusMisdirectedRequest {
			f.options.Left(r.grant.Target.ID, now)
		}
	case r.effect == sender.Lost:
		ending = placer.NoCompleteResponse
		f.options.Lost(f.quarantiner.RecordLoss(s, e.fingerprint, run, now), now)
	case r.effect == sender.Unsent:
		ending = placer.NoCompleteResponse
	case r.answer.Status >= http.StatusInternalServerError:
		ending = placer.Failed
	}
	if r.effect == sender.Done {
		if rumor, told := f.quarantiner.RecordCompletion(s, e.fingerprint, now); told {
			f.options.Lost(rumor, now)
		}
	}
	e.service.end(r.grant, ending, load, now)
}

// expired ends a request whose client has left or whose time is over.
func (e *race) expired() (*acceptor.Response, outcome) {
	if time.Now().Before(e.limit) {
		return &acceptor.Response{Status: http.StatusGatewayTimeout}, left
	}
	if e.running == 0 && !e.ran {
		return e.forwarder.refusal(disownedReturn), refused
	}
	return &acceptor.Response{Status: http.StatusGatewayTimeout}, timedOut
}

// reap cancels what is still under way and takes in its ends, so that the targets
// count as free.
func (e *race) reap() {
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
			e.service.end(r.grant, placer.Canceled, nil, time.Now())
		}
	}()
}

// conclude answers a request that no target is left for.
func (e *race) conclude() (*acceptor.Response, outcome) {
	switch {
	case e.last != nil:
		return pass(e.last), failed
	case e.ran:
		return &acceptor.Response{Status: http.StatusBadGateway}, unknown
	case e.refusal != nil:
		return e.forwarder.refusal(e.refusal.RetryAfter), refused
	}
	return e.forwarder.refusal(disownedReturn), refused
}

// pass returns a target's answer as the client gets it.
func pass(a *sender.Response) *acceptor.Response {
	return &acceptor.Response{Status: a.Status, Header: a.Header, Body: a.Body}
}

// effectNames are the effects in logs and counters.
var effectNames = map[sender.Effect]string{
	sender.Unsent: "unsent", sender.NotExecuted: "disowned", sender.Done: "done", sender.Lost: "lost",
}
