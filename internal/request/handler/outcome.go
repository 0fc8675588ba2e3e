package handler

import (
	"net/http"
	"time"
)

// OutcomeKind is what is known about the effect of a request.
type OutcomeKind string

// The outcomes, as the Oriole-Outcome header gives them.
const (
	// Done means that the answer is the target's whole answer.
	Done OutcomeKind = "done"
	// NotExecuted means that the request has not run and that this attempt never will.
	NotExecuted OutcomeKind = "unrun"
	// Unknown means that the request may or may not have run.
	Unknown OutcomeKind = "unknown"
)

// Cause names the reason of an outcome that is not done.
type Cause string

// The causes, as the first word of the answer's body gives them.
const (
	CauseNone                Cause = ""
	CauseBusy                Cause = "busy"
	CauseTargets             Cause = "targets"
	CauseDeadline            Cause = "deadline"
	CauseBroken              Cause = "broken"
	CauseNoSuchKind          Cause = "name"
	CauseBodyTooLarge        Cause = "size"
	CauseOperation           Cause = "operation"
	CauseForgotten           Cause = "forgotten"
	CauseExecutorEnded       Cause = "gone"
	CauseMismatch            Cause = "mismatch"
	CauseDropped             Cause = "dropped"
	CauseExecutorUnreachable Cause = "unreached"
	CauseQuarantine          Cause = "quarantine"
	CauseCanceled            Cause = "canceled"
	CausePaused              Cause = "paused"
)

// CauseInfo describes one cause to callers.
type CauseInfo struct {
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

// CauseInfos describes all causes.
var CauseInfos = []CauseInfo{
	{Cause: CauseBusy, Status: http.StatusTooManyRequests, Text: "no room for the request", Retry: retrySoon},
	{Cause: CauseTargets, Status: http.StatusServiceUnavailable, Text: "no target can take the request", Retry: retryLate},
	{Cause: CauseDeadline, Status: http.StatusGatewayTimeout, Text: "the deadline has passed or cannot be met", Retry: retrySoon},
	{Cause: CauseBroken, Status: http.StatusBadGateway, Text: "the target broke off", Retry: retrySoon},
	{Cause: CauseNoSuchKind, Status: http.StatusNotFound, Text: "the settings have no such service or kind", Final: true},
	{Cause: CauseBodyTooLarge, Status: http.StatusRequestEntityTooLarge, Text: "the body is larger than the settings allow", Final: true},
	{Cause: CauseOperation, Status: http.StatusConflict, Text: "the kind needs a valid operation id of an open epoch; use the executor given here", Retry: retrySoon},
	{Cause: CauseForgotten, Status: http.StatusConflict, Text: "the epoch of the operation is over; it will not run again", Final: true},
	{Cause: CauseExecutorEnded, Status: http.StatusConflict, Text: "the executor of the operation is gone; it will not run again", Final: true},
	{Cause: CauseMismatch, Status: http.StatusConflict, Text: "the operation id belongs to another request", Final: true},
	{Cause: CauseDropped, Status: http.StatusConflict, Text: "the operation has run; its answer is no longer kept", Final: true},
	{Cause: CauseExecutorUnreachable, Status: http.StatusBadGateway, Text: "the executor of the operation is out of reach", Retry: retryLate},
	{Cause: CauseQuarantine, Status: http.StatusUnprocessableEntity, Text: "the request broke the targets that ran it", Final: true},
	{Cause: CausePaused, Status: http.StatusServiceUnavailable, Text: "the instance has been paused and is asking its peers what has changed", Retry: retrySoon},
	{Cause: CauseCanceled, Status: http.StatusGatewayTimeout, Text: "the caller went away", Retry: retrySoon},
}

// records holds the records by cause.
var records = byCause(CauseInfos)

func byCause(list []CauseInfo) map[Cause]CauseInfo {
	found := make(map[Cause]CauseInfo, len(list))
	for _, r := range list {
		found[r.Cause] = r
	}
	return found
}

// Outcome is the final answer to one request.
type Outcome struct {
	Kind  OutcomeKind
	Cause Cause
	// Status, Header and Body are the target's answer when Kind is Done.
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter is when to come back; 0 if that is useless.
	RetryAfter time.Duration
	// Final means that trying the same request again is useless.
	Final bool
	// ExecutorToken is a fresh token for kinds that run at most once.
	ExecutorToken string
}

// NewNotExecuted makes an outcome of a request that did not run.
func NewNotExecuted(c Cause, retry time.Duration) *Outcome {
	return outcome(NotExecuted, c, retry)
}

// NewUnknown makes an outcome of a request that may have run.
func NewUnknown(c Cause, retry time.Duration) *Outcome {
	return outcome(Unknown, c, retry)
}

// NewRejected makes an outcome of a request that is turned away before it is known
// whether an earlier sending of it has run. Only the executor can say of an
// operation that it did not.
func NewRejected(c Cause, operation string) *Outcome {
	if operation == "" {
		return NewNotExecuted(c, 0)
	}
	o := NewUnknown(c, retryLate)
	o.Final = false
	return o
}

func outcome(k OutcomeKind, c Cause, retry time.Duration) *Outcome {
	r := records[c]
	if retry <= 0 {
		retry = r.Retry
	}
	return &Outcome{Kind: k, Cause: c, Status: r.Status, RetryAfter: retry, Final: r.Final}
}
