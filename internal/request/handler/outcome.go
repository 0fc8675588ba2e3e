package handler

import (
	"net/http"
	"time"
)

// Kind is what is known about the effect of a request.
type Kind string

// The outcomes, as the Oriole-Outcome header gives them.
const (
	// Done means that the answer is the target's whole answer.
	Done Kind = "done"
	// Unrun means that the request has not run and that this attempt never will.
	Unrun Kind = "unrun"
	// Unknown means that the request may or may not have run.
	Unknown Kind = "unknown"
)

// Cause names the reason of an outcome that is not done.
type Cause string

// The causes, as the first word of the answer's body gives them.
const (
	CauseNone       Cause = ""
	CauseBusy       Cause = "busy"
	CauseTargets    Cause = "targets"
	CauseDeadline   Cause = "deadline"
	CauseBroken     Cause = "broken"
	CauseName       Cause = "name"
	CauseSize       Cause = "size"
	CauseOperation  Cause = "operation"
	CauseForgotten  Cause = "forgotten"
	CauseGone       Cause = "gone"
	CauseMismatch   Cause = "mismatch"
	CauseDropped    Cause = "dropped"
	CauseUnreached  Cause = "unreached"
	CauseQuarantine Cause = "quarantine"
	CauseCanceled   Cause = "canceled"
	CausePaused     Cause = "paused"
)

// Record describes one cause to callers.
type Record struct {
	Cause Cause
	// Status is the HTTP status of the answer.
	Status int
	// Text says what happened.
	Text string
	// Final means that trying the same request again is useless.
	Final bool
	// Retry is when to come back if no better time is known; 0 if never.
	Retry time.Duration
}

// The times after which a caller may come back when nothing better is known.
const (
	retrySoon = 50 * time.Millisecond
	retryLate = time.Second
)

// Records describes all causes.
var Records = []Record{
	{Cause: CauseBusy, Status: http.StatusTooManyRequests, Text: "no room for the request", Retry: retrySoon},
	{Cause: CauseTargets, Status: http.StatusServiceUnavailable, Text: "no target can take the request", Retry: retryLate},
	{Cause: CauseDeadline, Status: http.StatusGatewayTimeout, Text: "the deadline has passed or cannot be met", Retry: retrySoon},
	{Cause: CauseBroken, Status: http.StatusBadGateway, Text: "the target broke off", Retry: retrySoon},
	{Cause: CauseName, Status: http.StatusNotFound, Text: "the settings have no such service or kind", Final: true},
	{Cause: CauseSize, Status: http.StatusRequestEntityTooLarge, Text: "the body is larger than the settings allow", Final: true},
	{Cause: CauseOperation, Status: http.StatusConflict, Text: "the kind needs a valid operation id of an open epoch; use the executor given here", Retry: retrySoon},
	{Cause: CauseForgotten, Status: http.StatusConflict, Text: "the epoch of the operation is over; it will not run again", Final: true},
	{Cause: CauseGone, Status: http.StatusConflict, Text: "the executor of the operation is gone; it will not run again", Final: true},
	{Cause: CauseMismatch, Status: http.StatusConflict, Text: "the operation id belongs to another request", Final: true},
	{Cause: CauseDropped, Status: http.StatusConflict, Text: "the operation has run; its answer is no longer kept", Final: true},
	{Cause: CauseUnreached, Status: http.StatusBadGateway, Text: "the executor of the operation is out of reach", Retry: retryLate},
	{Cause: CauseQuarantine, Status: http.StatusUnprocessableEntity, Text: "the request broke the targets that ran it", Final: true},
	{Cause: CausePaused, Status: http.StatusServiceUnavailable, Text: "the instance has been paused and is asking its peers what has changed", Retry: retrySoon},
	{Cause: CauseCanceled, Status: http.StatusGatewayTimeout, Text: "the caller went away", Retry: retrySoon},
}

// records holds the records by cause.
var records = byCause(Records)

func byCause(list []Record) map[Cause]Record {
	found := make(map[Cause]Record, len(list))
	for _, r := range list {
		found[r.Cause] = r
	}
	return found
}

// Outcome is the final answer to one request.
type Outcome struct {
	Kind  Kind
	Cause Cause
	// Status, Header and Body are the target's answer when Kind is Done.
	Status int
	Header http.Header
	Body   []byte
	// Retry is when to come back; 0 if that is useless.
	Retry time.Duration
	// Final means that trying the same request again is useless.
	Final bool
	// Executor is a fresh token for kinds that run at most once.
	Executor string
}

// Refuse makes an outcome of a request that did not run.
func Refuse(c Cause, retry time.Duration) *Outcome {
	return outcome(Unrun, c, retry)
}

// Doubt makes an outcome of a request that may have run.
func Doubt(c Cause, retry time.Duration) *Outcome {
	return outcome(Unknown, c, retry)
}

// Reject makes an outcome of a request that is turned away before it is known
// whether an earlier sending of it has run. Only the executor can say of an
// operation that it did not.
func Reject(c Cause, operation string) *Outcome {
	if operation == "" {
		return Refuse(c, 0)
	}
	o := Doubt(c, retryLate)
	o.Final = false
	return o
}

func outcome(k Kind, c Cause, retry time.Duration) *Outcome {
	r := records[c]
	if retry <= 0 {
		retry = r.Retry
	}
	return &Outcome{Kind: k, Cause: c, Status: r.Status, Retry: retry, Final: r.Final}
}
