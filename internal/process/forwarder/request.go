package forwarder

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/request/placer"
	"oriolecourse.example/oriolecourse/internal/version/router"
)

// outcome is the way in which a request ended, in logs and metrics.
type outcome string

// The outcomes of a request. The client's response is given for each:
//   - answered: a target's complete response with a status below 500.
//   - failed: a target's complete response with a status of 500 or above, or 502 in place of one
//     with a status that would tell the client that its request has not run.
//   - rejected: 503. No target ran the request.
//   - unknown: 502. A target may have run the request, but no complete response
//     arrived.
//   - timedOut: 504. The deadline passed, and a target may have run the request.
//   - clientLeft: none. The client disconnected.
//   - noRoute: 404. No route matches the request.
//   - malformed: 400. The request has no identifier, or its deadline is not valid.
//   - notReady: 503. The instance has no routing table yet.
//   - quarantined: 503. The quarantiner did not admit the request.
//   - relayed: the response of another instance that served the request.
//   - unreached: none. The request could be sent to no target, and another instance may
//     serve it.
const (
	answered    outcome = "answered"
	failed      outcome = "failed"
	rejected    outcome = "refused"
	unknown     outcome = "unknown"
	timedOut    outcome = "timed_out"
	clientLeft  outcome = "client_left"
	noRoute     outcome = "no_route"
	malformed   outcome = "malformed"
	notReady    outcome = "not_ready"
	quarantined outcome = "quarantined"
	relayed     outcome = "relayed"
	unreached   outcome = "unreached"
)

const (
	// responseGrace is the time after a request's deadline for which the forwarder
	// still waits for the target's response. The target knows the deadline and
	// responds itself when it passes.
	responseGrace = 40 * time.Millisecond
	// notReadyRetryAfter is the time after which a client may retry at an instance
	// that has just started. The settings usually arrive within this time.
	notReadyRetryAfter = 200 * time.Millisecond
	// stoppingRetryAfter is the time after which a client may retry whose request a stopping
	// instance has rejected. Another instance can serve it at once.
	stoppingRetryAfter = 20 * time.Millisecond
)

// request is a client request in progress.
type request struct {
	*acceptor.Request
	forwarder *Forwarder
	service   *service
	route     *router.Route
	// version is the version of the routing table that holds the route.
	version uint64
	// deadline is the client's deadline or the end of the route's timeout, whichever is
	// earlier.
	deadline time.Time
	// patience is the time for which the client waits, from its arrival.
	patience    time.Duration
	fingerprint quarantiner.Fingerprint
	// isRelayed means that another instance has relayed the request. The response is passed
	// to it as a whole.
	isRelayed bool
	// mayHaveRun means that a target may have run the request.
	mayHaveRun bool
	logger     log.Logger
}

// Serve returns the response to one request. The context ends when the client
// disconnects.
func (f *Forwarder) Serve(ctx context.Context, q *acceptor.Request) *acceptor.Response {
	now := q.Arrived
	logger := f.requestLogger(q)
	table := f.options.Table()
	if table == nil {
		return f.finish(logger, "", notReady, now, f.rejection(notReadyRetryAfter))
	}
	path, _, _ := strings.Cut(q.RequestURI, "?")
	route := table.Match(q.Host, path)
	if route == nil {
		_ = level.Warn(logger).Log("msg", "no route", "host", q.Host, "path", path, "version", table.Version)
		return f.finish(logger, "", noRoute, now, &acceptor.Response{Status: http.StatusNotFound})
	}
	return f.serveRoute(ctx, q, route, table.Version, false)
}

func (f *Forwarder) requestLogger(q *acceptor.Request) log.Logger {
	return log.With(f.options.Logger, "request", q.Header.Get(f.options.Dialect.RequestID))
}

// serveRoute serves a request by a route of a version of the settings. One that another
// instance has relayed is not relayed again.
func (f *Forwarder) serveRoute(ctx context.Context, q *acceptor.Request, route *router.Route, version uint64, isRelayed bool) *acceptor.Response {
	now, logger := q.Arrived, f.requestLogger(q)
	timeout, err := f.clientTimeout(q, route)
	if err != nil || q.Header.Get(f.options.Dialect.RequestID) == "" {
		path, _, _ := strings.Cut(q.RequestURI, "?")
		_ = level.Warn(logger).Log("msg", "malformed request", "host", q.Host, "path", path, "err", err)
		return f.finish(logger, "", malformed, now, &acceptor.Response{Status: http.StatusBadRequest})
	}
	r := &request{
		Request: q, forwarder: f, route: route, version: version, isRelayed: isRelayed,
		service:  f.service(route.Pick(rand.Uint64)),
		deadline: now.Add(min(timeout, route.Timeout)), patience: timeout, logger: logger,
	}
	r.fingerprint = quarantiner.Sum("", r.service.name, route.Name, q.Method, q.RequestURI, q.Body)
	if f.refusing.Load() {
		return r.refuse()
	}
	response, o := (*acceptor.Response)(nil), unreached
	if !r.service.relays() {
		r.service.countRequest(route.Priority, now)
		if response, o = r.admit(ctx); o == unreached {
			// It counts where it is served.
			r.service.forgetRequest(route.Priority, time.Now())
		}
	}
	if o == unreached {
		response, o = r.passOn(ctx)
	}
	return f.finish(logger, r.service.name, o, now, response)
}

// refuse returns the response to a request that a stopping instance does not begin. Another
// instance that has relayed it tries the next one.
func (r *request) refuse() *acceptor.Response {
	if r.isRelayed {
		return r.forwarder.finish(r.logger, r.service.name, unreached, r.Arrived, notTaken())
	}
	r.recordRejection(&placer.Rejection{Ticket: r.ticket(false, nil), RetryAfter: stoppingRetryAfter, Reason: placer.Stopping})
	return r.forwarder.finish(r.logger, r.service.name, rejected, r.Arrived, r.forwarder.rejection(stoppingRetryAfter))
}

// recordRejection counts and logs that no target was chosen.
func (r *request) recordRejection(j *placer.Rejection) {
	r.forwarder.counters.countRejection(r.service.name, j.Reason.String())
	_ = level.Info(r.logger).Log("msg", "not placed", "service", r.service.name, "reason", j.Reason,
		"extra", j.Ticket.Hedge, "waited", time.Since(r.Arrived), "return", j.RetryAfter)
}

// clientTimeout returns the time for which the client waits. It is the route's
// timeout if the request names none.
func (f *Forwarder) clientTimeout(q *acceptor.Request, route *router.Route) (time.Duration, error) {
	text := q.Header.Get(f.options.Dialect.Deadline)
	if text == "" {
		return route.Timeout, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err == nil && !(ms >= 0 && ms <= float64(math.MaxInt64/time.Millisecond)) {
		err = trace.BadParameter("the deadline is %q, expected a number of milliseconds from 0 to 9223372036854", text)
	}
	if err != nil {
		return 0, err
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// finish counts and logs the end of a request.
func (f *Forwarder) finish(logger log.Logger, service string, o outcome, arrived time.Time, response *acceptor.Response) *acceptor.Response {
	took := time.Since(arrived)
	f.counters.countRequest(service, o)
	f.counters.latency.RecordDuration(took)
	write := level.Info(logger)
	if o != answered && o != clientLeft {
		write = level.Warn(logger)
	}
	_ = write.Log("msg", "request ended", "service", service, "outcome", o, "status", response.Status, "took", took)
	return response
}

// rejection returns the response with status 503, which says that no target ran the
// request and when the client may retry.
func (f *Forwarder) rejection(retryAfter time.Duration) *acceptor.Response {
	seconds := strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)
	return &acceptor.Response{
		Status: http.StatusServiceUnavailable,
		Header: http.Header{f.options.Dialect.RetryAfter: {seconds}},
	}
}

// admit runs a request unless the quarantiner holds it back. A Quarantined request is
// rejected because it crashes targets. A suspect, which may crash targets, runs alone
// (Isolated); it is rejected while another suspect of the service runs (Busy).
func (r *request) admit(ctx context.Context) (*acceptor.Response, outcome) {
	table, s := r.forwarder.quarantiner, quarantiner.Service{Service: r.service.name}
	verdict, retryAfter := table.Admit(s, r.fingerprint, r.Arrived)
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(responseGrace))
	finish := cancel
	switch verdict {
	case quarantiner.Quarantined, quarantiner.Busy:
		cancel()
		_ = level.Warn(r.logger).Log("msg", "held back", "verdict", verdict, "service", r.service.name, "return", retryAfter)
		return r.forwarder.rejection(retryAfter), quarantined
	case quarantiner.Isolated:
		finish = func() {
			cancel()
			table.EndIsolation(s, r.fingerprint)
		}
	}
	return newExecution(ctx, r, finish).run()
}

// ticket describes the request to the placer.
func (r *request) ticket(hedge bool, avoid []string) *placer.Ticket {
	return &placer.Ticket{
		Kind: r.route.Name, Priority: r.route.Priority, Arrived: r.Arrived,
		ObjectiveTime: r.Arrived.Add(r.route.LatencyObjective), Deadline: r.deadline, LatencyObjective: r.route.LatencyObjective,
		Patience: r.patience, NonIdempotent: !r.route.Idempotent, Hedge: hedge, Avoid: avoid,
	}
}
