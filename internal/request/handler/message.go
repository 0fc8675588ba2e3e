package handler

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Message is an outcome as an HTTP answer, towards callers and between instances.
type Message struct {
	Status int
	Header http.Header
	Body   []byte
}

// Message writes the outcome as an HTTP answer.
func (o *Outcome) Message() Message {
	h := Strip(o.Header)
	if h == nil {
		h = http.Header{}
	}
	h.Set(HeaderOutcome, string(o.Kind))
	if o.Executor != "" {
		h.Set(HeaderExecutor, o.Executor)
	}
	if o.Final {
		h.Set(HeaderFinal, "true")
	}
	if o.Retry > 0 {
		h.Set(HeaderRetry, o.Retry.String())
		h.Set("Retry-After", strconv.Itoa(seconds(o.Retry)))
	}
	m := Message{Status: o.Status, Header: h, Body: o.Body}
	if o.Kind != Done {
		m.Body = []byte(string(o.Cause) + ": " + records[o.Cause].Text + "\n")
	}
	return m
}

// greatestStatus is the greatest HTTP status that there is.
const greatestStatus = 599

// Read reads the outcome that another instance has written. One that cannot be
// read says nothing of the request.
func Read(m Message) *Outcome {
	_, known := results[Kind(m.Header.Get(HeaderOutcome))]
	if !known || m.Status < http.StatusOK || m.Status > greatestStatus {
		return Doubt(CauseUnreached, 0)
	}
	o := &Outcome{
		Kind:     Kind(m.Header.Get(HeaderOutcome)),
		Status:   m.Status,
		Header:   m.Header,
		Body:     m.Body,
		Executor: m.Header.Get(HeaderExecutor),
		Final:    m.Header.Get(HeaderFinal) != "",
	}
	if o.Kind == Done {
		return o
	}
	cause, _, _ := strings.Cut(string(m.Body), ":")
	o.Cause, o.Header, o.Body = Cause(cause), nil, nil
	if retry, err := time.ParseDuration(m.Header.Get(HeaderRetry)); err == nil {
		o.Retry = retry
	}
	return o
}

// seconds rounds up to whole seconds, as the Retry-After header wants them.
func seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
