package handler

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is an outcome as an HTTP response. Instances send it to callers and to
// each other.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Response returns the outcome as an HTTP response.
func (o *Outcome) Response() Response {
	h := StripHeaders(o.Header)
	if h == nil {
		h = http.Header{}
	}
	h.Set(HeaderOutcome, string(o.Kind))
	if o.ExecutorToken != "" {
		h.Set(HeaderExecutor, o.ExecutorToken)
	}
	if o.Final {
		h.Set(HeaderFinal, "true")
	}
	if o.RetryAfter > 0 {
		h.Set(HeaderRetry, o.RetryAfter.String())
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(o.RetryAfter)))
	}
	response := Response{Status: o.Status, Header: h, Body: o.Body}
	if o.Kind != Done {
		response.Body = []byte(string(o.Cause) + ": " + infoByCause[o.Cause].Text + "\n")
	}
	return response
}

// maxStatus is the greatest valid HTTP status code.
const maxStatus = 599

// ParseResponse reads the outcome that another instance wrote with Response. If it
// is malformed, the outcome is unknown.
func ParseResponse(response Response) *Outcome {
	_, known := executorResults[OutcomeKind(response.Header.Get(HeaderOutcome))]
	if !known || response.Status < http.StatusOK || response.Status > maxStatus {
		return NewUnknown(CauseExecutorUnreachable, 0)
	}
	o := &Outcome{
		Kind:          OutcomeKind(response.Header.Get(HeaderOutcome)),
		Status:        response.Status,
		Header:        response.Header,
		Body:          response.Body,
		ExecutorToken: response.Header.Get(HeaderExecutor),
		Final:         response.Header.Get(HeaderFinal) != "",
	}
	if o.Kind == Done {
		return o
	}
	cause, _, _ := strings.Cut(string(response.Body), ":")
	o.Cause, o.Header, o.Body = Cause(cause), nil, nil
	if retry, err := time.ParseDuration(response.Header.Get(HeaderRetry)); err == nil {
		o.RetryAfter = retry
	}
	return o
}

// ceilSeconds rounds up to whole seconds, the unit of the Retry-After header.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
