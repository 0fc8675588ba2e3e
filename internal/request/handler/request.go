package handler

import (
	"net/http"
	"strings"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// The headers of the interface for callers.
const (
	HeaderOperation = "Oriole-Operation"
	HeaderDeadline  = "Oriole-Deadline"
	HeaderOutcome   = "Oriole-Outcome"
	HeaderRetry     = "Oriole-Retry"
	HeaderFinal     = "Oriole-Final"
	HeaderExecutor  = "Oriole-Executor"
	HeaderInstance  = "Oriole-Instance"

	headerPrefix = "Oriole-"
)

// The headers of a target's response that report the load, the state and the
// start id of the target.
const (
	HeaderReport = "Endpoint-Load-Metrics"
	HeaderState  = "Target-State"
	HeaderStart  = "Target-Start"
)

// Request is one request of a caller with its complete body.
type Request struct {
	// Policy holds the settings of the request's kind at its arrival. They apply until
	// its end, even if the settings change.
	Policy *resolver.Policy
	Method string
	// Path is the escaped path at the target, with the query if there is one.
	Path   string
	Header http.Header
	Body   []byte
	// Operation is the operation id, which kinds that run at most once require.
	Operation string
	// Arrived is when the request arrived. Deadline is when its response is due.
	Arrived  time.Time
	Deadline time.Time
	// Permit is called right before the request is sent and reports whether it may
	// be sent; nil means that it always may.
	Permit func(now time.Time) bool
	// OutcomeFromPeer means that another instance decided the outcome: the executor or
	// an instance that holds its handover. That instance counts the cost of the request.
	OutcomeFromPeer bool
	// OnNotExecuted is called after an attempt that did not execute the request: it was
	// not sent, or the target reported that it did not execute it. It may be nil.
	OnNotExecuted func()

	// fingerprint is the digest of the request's content.
	fingerprint quarantiner.Fingerprint
}

// contentFingerprint returns the digest of the request's place, service, kind, method,
// path and body.
func (r *Request) contentFingerprint() quarantiner.Fingerprint {
	p := r.Policy
	return quarantiner.Sum(p.Place, p.Service, p.Kind, r.Method, r.Path, r.Body)
}

// RequestPrefix is the path prefix of every request for a service.
const RequestPrefix = "/s/"

// SplitURI splits the URI of a request into the service, the kind and the path at
// the target. That path starts with the kind and includes the query.
func SplitURI(uri string) (service, kind, path string) {
	service, path, _ = strings.Cut(strings.TrimPrefix(uri, RequestPrefix), "/")
	path = "/" + path
	kind, _, _ = strings.Cut(path[1:], "?")
	kind, _, _ = strings.Cut(kind, "/")
	return service, kind, path
}

// NewRequest returns a request that arrives now. The path is the one that SplitURI
// returns.
func NewRequest(p *resolver.Policy, method, path string, h http.Header, body []byte, now time.Time) *Request {
	return &Request{
		Policy:    p,
		Method:    method,
		Path:      path,
		Header:    h,
		Body:      body,
		Operation: h.Get(HeaderOperation),
		Arrived:   now,
		Deadline:  now.Add(allowedTime(h, p.Deadline)),
	}
}

// allowedTime returns the time limit of the request: the one that the caller sets in
// a header, if it is valid and no longer than that of the settings.
func allowedTime(h http.Header, limit time.Duration) time.Duration {
	requested, err := time.ParseDuration(h.Get(HeaderDeadline))
	if err != nil || requested <= 0 || requested > limit {
		return limit
	}
	return requested
}

// service returns the service of the request for the quarantine.
func (r *Request) service() quarantiner.Service {
	return quarantiner.Service{Place: r.Policy.Place, Service: r.Policy.Service}
}

// StripHeaders returns a copy of the headers without hop-by-hop headers and without
// those that start with "Oriole-".
func StripHeaders(h http.Header) http.Header {
	kept := h.Clone()
	acceptor.StripHopByHop(kept)
	for name := range kept {
		if strings.HasPrefix(name, headerPrefix) {
			delete(kept, name)
		}
	}
	return kept
}

// senderRequest returns the request that is sent to a target.
func (r *Request) senderRequest(now time.Time) sender.Request {
	h := StripHeaders(r.Header)
	h.Set(HeaderDeadline, r.Deadline.Sub(now).String())
	if r.Operation != "" {
		h.Set(HeaderOperation, r.Operation)
	}
	return sender.Request{
		Method:           r.Method,
		Path:             r.Path,
		Header:           h,
		Body:             r.Body,
		MaxResponseBytes: r.Policy.MaxBodyBytes,
	}
}
