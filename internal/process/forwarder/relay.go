package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/version/router"
)

// RelayResult says what became of a request that was to be relayed.
type RelayResult int

// The results of relaying a request.
const (
	// RelayAnswered means that another instance responded.
	RelayAnswered RelayResult = iota
	// RelayRefused means that all instances that were asked reach no target either, so the
	// request has not run.
	RelayRefused
	// RelayUnsent means that no instance took the request, so it has not run.
	RelayUnsent
	// RelayUnknown means that an instance took the request and did not respond.
	RelayUnknown
)

// unrelayedTime is how long requests are not relayed after one was refused by all that were
// asked: all instances may be cut off, or all targets of the service dead.
const unrelayedTime = 250 * time.Millisecond

// unrelayedRetryAfter is the time after which a client may retry if no instance took its
// request: about the time in which the instances learn which of them serve.
const unrelayedRetryAfter = 300 * time.Millisecond

// ServeRelayed returns the response to a request that another instance has relayed. That
// instance has chosen the route, so that the request is handled by one version of the
// settings, however old those of this instance are. Status 421 means that this instance
// reaches no target either and has not run the request.
func (f *Forwarder) ServeRelayed(ctx context.Context, q *acceptor.Request, route *router.Route) *acceptor.Response {
	return f.serveRoute(ctx, q, route, 0, true)
}

func notTaken() *acceptor.Response { return &acceptor.Response{Status: http.StatusMisdirectedRequest} }

// passOn handles a request that this instance could send to no target. One that another instance
// has relayed goes back to it, unless it may have run: the other one would take it for a request
// that has not.
func (r *request) passOn(ctx context.Context) (*acceptor.Response, outcome) {
	switch {
	case r.isRelayed && r.mayHaveRun:
		return &acceptor.Response{Status: http.StatusBadGateway}, unknown
	case r.isRelayed:
		return notTaken(), unreached
	}
	return r.relay(ctx)
}

// relay lets another instance serve a request that this one could send to no target. If all
// instances refuse a request, further ones are rejected at once for some time.
func (r *request) relay(ctx context.Context) (*acceptor.Response, outcome) {
	f, now := r.forwarder, time.Now()
	if now.UnixNano() < r.service.unrelayedUntil.Load() {
		return r.notRelayed()
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(responseGrace))
	defer cancel()
	q := *r.Request
	q.Header = q.Header.Clone()
	left := max(r.deadline.Sub(now).Milliseconds(), 1)
	q.Header.Set(f.options.Dialect.Deadline, strconv.FormatInt(left, 10))
	response, result := f.options.Relay(ctx, &q, r.route.To(r.service.name))
	switch {
	case result == RelayAnswered && !r.acceptsStatus(response):
		r.reportReplaced("", response.Status)
		return &acceptor.Response{Status: http.StatusBadGateway}, unknown
	case result == RelayAnswered:
		return response, relayed
	case result == RelayRefused:
		r.service.unrelayedUntil.Store(time.Now().Add(unrelayedTime).UnixNano())
		return r.notRelayed()
	case result == RelayUnsent:
		return r.notRelayed()
	case time.Now().Before(r.deadline) && ctx.Err() != nil:
		return &acceptor.Response{Status: http.StatusGatewayTimeout}, clientLeft
	case time.Now().Before(r.deadline):
		return &acceptor.Response{Status: http.StatusBadGateway}, unknown
	}
	return &acceptor.Response{Status: http.StatusGatewayTimeout}, timedOut
}

// notRelayed returns the response to a request that no instance took.
func (r *request) notRelayed() (*acceptor.Response, outcome) {
	if r.mayHaveRun {
		return &acceptor.Response{Status: http.StatusBadGateway}, unknown
	}
	return r.forwarder.rejection(unrelayedRetryAfter), rejected
}
