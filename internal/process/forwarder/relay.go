package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
)

// RelayResult says what became of a request that was to be relayed.
type RelayResult int

// The results of relaying a request.
const (
	// RelayAnswered means that another instance responded.
	RelayAnswered RelayResult = iota
	// RelayUnsent means that no instance took the request, so it has not run.
	RelayUnsent
	// RelayUnknown means that an instance took the request and did not respond.
	RelayUnknown
)

// unrelayedTime is how long requests are not relayed after no instance took one: all of them
// may be cut off, or all targets of the service dead.
const unrelayedTime = 250 * time.Millisecond

// unrelayedRetryAfter is the time after which a client may retry if no instance took its
// request: about the time in which the instances learn which of them serve.
const unrelayedRetryAfter = 300 * time.Millisecond

// ServeRelayed returns the response to a request that another instance has relayed, which
// has settings of the given version. Status 421 means that this instance cannot serve it
// either, or only by older settings, and has not run it.
func (f *Forwarder) ServeRelayed(ctx context.Context, q *acceptor.Request, version uint64) *acceptor.Response {
	if table := f.options.Table(); table == nil || table.Version < version {
		return notTaken()
	}
	return f.serve(ctx, q, true)
}

func notTaken() *acceptor.Response { return &acceptor.Response{Status: http.StatusMisdirectedRequest} }

// relay lets another instance serve a request that this one could send to no target. If no
// instance takes a request, further ones are rejected at once for some time.
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
	response, result := f.options.Relay(ctx, &q, r.version)
	switch {
	case result == RelayAnswered && r.mayHaveRun && response.Status == http.StatusServiceUnavailable:
		// The status says that the request has not run, which the other instance cannot know.
		return &acceptor.Response{Status: http.StatusBadGateway}, unknown
	case result == RelayAnswered:
		return response, relayed
	case result == RelayUnsent:
		r.service.unrelayedUntil.Store(time.Now().Add(unrelayedTime).UnixNano())
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
