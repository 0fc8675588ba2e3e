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

// The headers of the callers' interface.
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

// The headers of a target's answer that tell of the target itself.
const (
	HeaderReport = "Endpoint-Load-Metrics"
	HeaderState  = "Target-State"
	HeaderStart  = "Target-Start"
)

// Request is one request of a caller with its whole body.
type Request struct {
	// Policy holds the settings that are in force for the request to its end.
	Policy *resolver.Policy
	Method string
	// Path is the escaped path for the target, with the query if there is one.
	Path   string
	Header http.Header
	Body   []byte
	// Operation is the id of a kind that runs at most once.
	Operation string
	// Arrived is when the request came in, Deadline when its answer is due.
	Arrived  time.Time
	Deadline time.Time
	// Permit is asked right before the request is sent; nil permits it.
	Permit func(now time.Time) bool
	// ExecutorResponded means that the executor has answered for this instance and has the
	// request in its accounts.
	ExecutorResponded bool
	// Disown tells that a permitted sending did not run; nil is allowed.
	Disown func()

	// fingerprint is the digest of the content.
	fingerprint quarantiner.Fingerprint
}

// sum returns the digest of the request's content.
func (r *Request) sum() quarantiner.Fingerprint {
	p := r.Policy
	return quarantiner.Sum(p.Place, p.Service, p.Kind, r.Method, r.Path, r.Body)
}

// RequestPrefix starts the path of every request for a service.
const RequestPrefix = "/s/"

// SplitURI takes the path and query of a request apart; the target's path starts
// with the kind.
func SplitURI(uri string) (service, kind, path string) {
	service, path, _ = strings.Cut(strings.TrimPrefix(uri, RequestPrefix), "/")
	path = "/" + path
	kind, _, _ = strings.Cut(path[1:], "?")
	kind, _, _ = strings.Cut(kind, "/")
	return service, kind, path
}

// NewRequest makes a request that arrives now. The path is that of Route.
func NewRequest(p *resolver.Policy, method, path string, h http.Header, body []byte, now time.Time) *Request {
	return &Request{
		Policy:    p,
		Method:    method,
		Path:      path,
		Header:    h,
		Body:      body,
		Operation: h.Get(HeaderOperation),
		Arrived:   now,
		Deadline:  now.Add(allowed(h, p.Deadline)),
	}
}

// allowed returns the time that the caller grants, at most that of the settings.
func allowed(h http.Header, greatest time.Duration) time.Duration {
	asked, err := time.ParseDuration(h.Get(HeaderDeadline))
	if err != nil || asked <= 0 || asked > greatest {
		return greatest
	}
	return asked
}

// service names the service for the quarantine.
func (r *Request) service() quarantiner.Service {
	return quarantiner.Service{Place: r.Policy.Place, Service: r.Policy.Service}
}

// Strip returns a copy of the headers without those of one connection and
// without those of the callers' interface.
func Strip(h http.Header) http.Header {
	kept := h.Clone()
	acceptor.StripConnection(kept)
	for name := range kept {
		if strings.HasPrefix(name, headerPrefix) {
			delete(kept, name)
		}
	}
	return kept
}

// message makes the request to a target.
func (r *Request) message(now time.Time) sender.Request {
	h := Strip(r.Header)
	h.Set(HeaderDeadline, r.Deadline.Sub(now).String())
	if r.Operation != "" {
		h.Set(HeaderOperation, r.Operation)
	}
	return sender.Request{
		Method: r.Method,
		Path:   r.Path,
		Header: h,
		Body:   r.Body,
		Limit:  r.Policy.Body,
	}
}
