package forwarder

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// notRunStatuses holds the statuses that tell a client that its request has not run and never
// will. A client then sends it again, even if it must not run twice. So only this instance, which
// knows all attempts, may send them; a target means less by them.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// replaceFalseRefusal replaces a target's response to a request that has run if a client would take
// its status for the opposite. No header and no body is kept, since they belong to that status.
func (e *execution) replaceFalseRefusal(r result, now time.Time) result {
	if !notRunStatuses[r.response.Status] {
		return r
	}
	e.reportReplaced(r.grant.Target.ID, r.response.Status)
	if r.response.Rest != nil {
		r.discard()
		e.service.end(r.grant, placer.Canceled, nil, now)
	}
	r.response = &sender.Response{Status: http.StatusBadGateway}
	return r
}

// reportReplaced counts and logs that a response was replaced because of its status. The target
// is empty if another instance sent the response.
func (r *request) reportReplaced(target string, status int) {
	r.forwarder.counters.countReplaced(r.service.name)
	_ = level.Warn(r.logger).Log("msg", "status replaced", "service", r.service.name, "target", target, "status", status)
}

// acceptsStatus reports whether the client may get the status of another instance's response. That
// instance does not know what this one has sent, and an earlier build passes on what targets say.
func (r *request) acceptsStatus(response *acceptor.Response) bool {
	return !notRunStatuses[response.Status] || !r.mayHaveRun && r.forwarder.isRejection(response)
}

// isRejection reports whether a response is one that rejection returns.
func (f *Forwarder) isRejection(response *acceptor.Response) bool {
	return response.Status == http.StatusServiceUnavailable && len(response.Body) == 0 &&
		len(response.Header) == 1 && response.Header.Get(f.options.Dialect.RetryAfter) != ""
}
