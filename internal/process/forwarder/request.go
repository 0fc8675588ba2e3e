package forwarder

import (
	"context"
	"math"
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

// outcome tells how a request ended, in logs and counters.
type outcome string

// The outcomes of a request.
const (
	answered    outcome = "answered"
	failed      outcome = "failed"
	refused     outcome = "refused"
	unknown     outcome = "unknown"
	timedOut    outcome = "timed_out"
	left        outcome = "client_left"
	unrouted    outcome = "no_route"
	malformed   outcome = "malformed"
	unready     outcome = "not_ready"
	quarantined outcome = "quarantined"
)

const (
	// overrun is how long after a request's limit the target's own answer to the
	// deadline is still awaited.
	overrun = 40 * time.Millisecond
	// unreadyReturn is when a client should come back to an instance that has just
	// started: settings arrive within it.
	unreadyReturn = 200 * time.Millisecond
)

// request is one client request on its way.
type request struct {
	*acceptor.Request
	forwarder *Forwarder
	service   *service
	route     *router.Route
	version   uint64
	// limit is when the request is given up.
	limit       time.Time
	fingerprint quarantiner.Fingerprint
	logger      log.Logger
}

// Serve answers one request; the context ends when its client has left.
func (f *Forwarder) Serve(ctx context.Context, q *acceptor.Request) *acceptor.Response {
	now := q.Arrived
	id := q.Header.Get(f.options.Dialect.RequestID)
	logger := log.With(f.options.Logger, "request", id)
	table := f.options.Table()
	if table == nil {
		return f.finish(logger, "", unready, now, f.refusal(unreadyReturn))
	}
	path, _, _ := strings.Cut(q.RequestURI, "?")
	route := table.Match(q.Host, path)
	if route == nil {
		_ = level.Warn(logger).Log("msg", "no route", "host", q.Host, "path", path, "version", table.Version)
		return f.finish(logger, "", unrouted, now, &acceptor.Response{Status: http.StatusNotFound})
	}
	left, err := f.left(q, route)
	if err != nil || id == "" {
		_ = level.Warn(logger).Log("msg", "malformed request", "host", q.Host, "path", path, "err", err)
		return f.finish(logger, "", malformed, now, &acceptor.Response{Status: http.StatusBadRequest})
	}
	r := &request{
		Request: q, forwarder: f, route: route, version: table.Version,
		service: f.service(f.splitter.Pick(route)),
		limit:   now.Add(min(left, route.Timeout)), logger: logger,
	}
	r.service.count(now)
	r.fingerprint = quarantiner.Sum("", r.service.name, route.Name, q.Method, q.RequestURI, q.Body)
	answer, o := r.admit(ctx)
	return f.finish(logger, r.service.name, o, now, answer)
}

// left returns how long the client waits.
func (f *Forwarder) left(q *acceptor.Request, route *router.Route) (time.Duration, error) {
	text := q.Header.Get(f.options.Dialect.Deadline)
	if text == "" {
		return route.Timeout, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err == nil && !(ms >= 0 && ms <= float64(math.MaxInt64/time.Millisecond)) {
		err = trace.BadParameter("a deadline of %s ms", text)
	}
	if err != nil {
		return 0, err
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// finish counts and logs the end of a request.
func (f *Forwarder) finish(logger log.Logger, service string, o outcome, began time.Time, a *acceptor.Response) *acceptor.Response {
	took := time.Since(began)
	f.counters.ended(service, o)
	f.counters.latency.RecordDuration(took)
	write := level.Info(logger)
	if o != answered && o != left {
		write = level.Warn(logger)
	}
	_ = write.Log("msg", "request ended", "service", service, "outcome", o, "status", a.Status, "took", took)
	return a
}

// refusal turns a request away of which nothing has run.
func (f *Forwarder) refusal(wait time.Duration) *acceptor.Response {
	seconds := strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	return &acceptor.Response{
		Status: http.StatusServiceUnavailable,
		Header: http.Header{f.options.Dialect.RetryAfter: {seconds}},
	}
}

// admit holds back requests that crash their targets, and runs the others.
func (r *request) admit(ctx context.Context) (*acceptor.Response, outcome) {
	table, s := r.forwarder.quarantiner, quarantiner.Service{Service: r.service.name}
	verdict, wait := table.Admit(s, r.fingerprint, r.Arrived)
	switch verdict {
	case quarantiner.Quarantined, quarantiner.Busy:
		_ = level.Warn(r.logger).Log("msg", "held back", "verdict", verdict, "service", r.service.name, "return", wait)
		return r.forwarder.refusal(wait), quarantined
	case quarantiner.Isolated:
		defer table.EndIsolation(s, r.fingerprint)
	}
	ctx, cancel := context.WithDeadline(ctx, r.limit.Add(overrun))
	defer cancel()
	return newRace(ctx, r).run()
}

// ticket returns what the placer has to know of the request.
func (r *request) ticket(extra bool, avoid []string) *placer.Ticket {
	return &placer.Ticket{
		Kind: r.route.Name, Priority: r.route.Priority, Arrived: r.Arrived,
		ObjectiveTime: r.Arrived.Add(r.route.LatencyObjective), Deadline: r.limit, LatencyObjective: r.route.LatencyObjective,
		NonIdempotent: !r.route.Idempotent, Hedge: extra, Avoid: avoid,
	}
}
