package handler

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is an outcome as an HTTP answer, towards callers and between instances.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Response writes the outcome as an HTTP answer.
func (o *Outcome) Response() Response {
	h := Strip(o.Header)
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
		h.Set("Retry-After", strconv.Itoa(seconds(o.RetryAfter)))
	}
	m := Response{Status: o.Status, Header: h, Body: o.Body}
	if o.Kind != Done {
		m.Body = []byte(string(o.Cause) + ": " + records[o.Cause].Text + "\n")
	}
	return m
}

// greatestStatus is the greatest HTTP status that there is.
const greatestStatus = 599

// ParseResponse reads the outcome that another instance has written. One that cannot be
// read says nothing of the request.
func ParseResponse(m Response) *Outcome {
	_, known := results[OutcomeKind(m.Header.Get(HeaderOutcome))]
	if !known || m.Status < http.StatusOK || m.Status > greatestStatus {
		return NewUnknown(CauseExecutorUnreachable, 0)
	}
	o := &Outcome{
		Kind:          OutcomeKind(m.Header.Get(HeaderOutcome)),
		Status:        m.Status,
		Header:        m.Header,
		Body:          m.Body,
		ExecutorToken: m.Header.Get(HeaderExecutor),
		Final:         m.Header.Get(HeaderFinal) != "",
	}
	if o.Kind == Done {
		return o
	}
	cause, _, _ := strings.Cut(string(m.Body), ":")
	o.Cause, o.Header, o.Body = Cause(cause), nil, nil
	if retry, err := time.ParseDuration(m.Header.Get(HeaderRetry)); err == nil {
		o.RetryAfter = retry
	}
	return o
}

// seconds rounds up to whole seconds, as the Retry-After header wants them.
func seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
