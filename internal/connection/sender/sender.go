package sender

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// idleTimeout is shorter than the idle timeouts of common servers, so that a
// request is rarely sent on a connection that the target is about to close.
const idleTimeout = 4 * time.Second

// MaxStatus is the greatest status code that can be passed on. A response with a
// status below 200 is not final, and the data after an upgrade (101) has no end.
const MaxStatus = 599

// Effect is what is known about the execution of a request by its target.
type Effect int

// The effects, ordered by how much the target may have done with the request.
const (
	// Unsent means that no byte of the request was sent to the target.
	Unsent Effect = iota
	// NotExecuted means that the target reported that it did not execute the
	// request.
	NotExecuted
	// Done means that the complete response arrived.
	Done
	// Lost means that the request got a connection, so that all or part of it may
	// have been sent, and no complete and valid response arrived. The target may
	// have executed it.
	Lost
)

// Request is one request to a target.
type Request struct {
	Method string
	// Path is the escaped path, with the query if there is one.
	Path   string
	Header http.Header
	Body   []byte
	// MaxResponseBytes is the greatest size of the response body.
	MaxResponseBytes int64
}

// Response is the response of a target.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body, or its first part if Rest is set.
	Body []byte
	// Rest is what follows Body, or nil. Only the exchanger sets it, for requests that ask
	// for it. It ends with io.EOF only if the body is complete, and must be closed.
	Rest io.ReadCloser
	// Length is the length of the body with its rest, or -1 if it is unknown. It is set
	// only with Rest.
	Length int64
}

// Sender sends requests to targets. Its fields must be set before the first use.
type Sender struct {
	// DialTimeout bounds the opening of one connection.
	DialTimeout time.Duration
	// OnConnect is called for every new connection. It may be nil.
	OnConnect func(target netip.AddrPort)

	// pools maps the netip.AddrPort of a target to its *pool.
	pools sync.Map
}

// Send sends one request to the target once and reads the complete response. The
// error is nil exactly when the effect is Done or NotExecuted.
func (s *Sender) Send(ctx context.Context, target netip.AddrPort, r Request) (*Response, Effect, error) {
	var sent atomic.Bool
	request, err := s.buildRequest(ctx, target, r, &sent)
	if err != nil {
		return nil, Unsent, trace.Wrap(err)
	}
	response, err := s.pool(target).transport.Load().RoundTrip(request)
	if err != nil {
		if sent.Load() {
			return nil, Lost, trace.Wrap(err, "the target broke off")
		}
		return nil, Unsent, trace.Wrap(err, "the request was not sent")
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > MaxStatus {
		response.Body.Close()
		return nil, Lost, trace.BadParameter("the target sent status %d, want a final status from 200 to 599", response.StatusCode)
	}
	body, err := readBody(response, r.MaxResponseBytes)
	if err != nil {
		return nil, Lost, trace.Wrap(err)
	}
	complete := &Response{Status: response.StatusCode, Header: response.Header, Body: body}
	if notExecuted(complete) {
		return complete, NotExecuted, nil
	}
	return complete, Done, nil
}

// buildRequest returns the HTTP request for r. The trace of the request sets sent
// when it gets a connection, because the target may receive it from then on.
func (s *Sender) buildRequest(ctx context.Context, target netip.AddrPort, r Request, sent *atomic.Bool) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, trace.BadParameter("the path %q is not valid", r.Path)
	}
	u.Scheme = "http"
	u.Host = target.String()
	connectionTrace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			sent.Store(true)
			i.Conn.(*countedConn).ExpectResponse()
		},
	}
	request := &http.Request{
		Method:        r.Method,
		URL:           u,
		Header:        lowercaseIdempotencyKeys(r.Header),
		Host:          u.Host,
		ContentLength: int64(len(r.Body)),
		Body:          singleUseBody(r),
	}
	return request.WithContext(httptrace.WithClientTrace(ctx, connectionTrace)), nil
}

// resentMethods are the methods whose requests http.Transport sends again on its
// own when the target closes a reused connection.
var resentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true,
}

// singleUseBody returns a body that http.Transport cannot send again, since the
// request has no GetBody. For a method that http.Transport does not resend, an
// empty body is http.NoBody: any other empty reader would be sent in chunks, which
// some targets refuse.
func singleUseBody(r Request) io.ReadCloser {
	if len(r.Body) == 0 && !resentMethods[r.Method] {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(r.Body))
}

// lowercaseIdempotencyKeys returns a copy of h with the names of the idempotency
// headers in lower case. http.Transport resends any request without a body that
// has one of these headers, but looks only for the canonical names.
func lowercaseIdempotencyKeys(h http.Header) http.Header {
	headers := make(http.Header, len(h))
	for name, list := range h {
		if name == "Idempotency-Key" || name == "X-Idempotency-Key" {
			name = strings.ToLower(name)
		}
		headers[name] = list
	}
	return headers
}

// errNoLength is returned for a response that ends with its connection, since a
// truncated response cannot be told from a complete one.
var errNoLength = errors.New("the response has neither a Content-Length nor chunked encoding")

func readBody(response *http.Response, limit int64) ([]byte, error) {
	defer response.Body.Close()
	if hasNoBody(response) {
		return nil, nil
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, trace.Wrap(errNoLength)
	}
	if response.ContentLength > limit {
		return nil, trace.LimitExceeded("the response body is larger than %d bytes", limit)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, trace.Wrap(err, "the response body is incomplete")
	}
	if int64(len(body)) > limit {
		return nil, trace.LimitExceeded("the response body is larger than %d bytes", limit)
	}
	return body, nil
}

// hasNoBody reports whether a response has no body, whatever its Content-Length.
func hasNoBody(response *http.Response) bool {
	return response.Request.Method == http.MethodHead ||
		response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
}

// The values of the Target-State header with which a target reports, in a response
// with status 503, that it did not execute the request.
const (
	stateShed     = "shed"
	stateDraining = "draining"
)

func notExecuted(r *Response) bool {
	state := r.Header.Get("Target-State")
	return r.Status == http.StatusServiceUnavailable && (state == stateShed || state == stateDraining)
}
