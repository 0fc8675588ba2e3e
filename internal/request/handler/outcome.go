package handler

import (
	"net/http"
	"time"
)

// OutcomeKind states what is known about the effect of a request.
type OutcomeKind string

// The kinds of outcomes. Their values are those of the Oriole-Outcome header.
const (
	// Done means that the outcome holds the target's complete response.
	Done OutcomeKind = "done"
	// NotExecuted means that the request was not executed and that none of its
	// attempts will execute it later.
	NotExecuted OutcomeKind = "unrun"
	// Unknown means that the request may have been executed.
	Unknown OutcomeKind = "unknown"
)

// Cause is the reason for an outcome other than Done.
type Cause string

// The causes. Their values are the first word of the response body.
const (
	CauseNone                Cause = ""
	CauseBusy                Cause = "busy"
	CauseNoTarget            Cause = "targets"
	CauseDeadline            Cause = "deadline"
	CauseConnectionLost      Cause = "broken"
	CauseNoSuchKind          Cause = "name"
	CauseBodyTooLarge        Cause = "size"
	CauseInvalidOperation    Cause = "operation"
	CauseEpochEnded          Cause = "forgotten"
	CauseExecutorEnded       Cause = "gone"
	CauseMismatch            Cause = "mismatch"
	CauseResponseDropped     Cause = "dropped"
	CauseExecutorUnreachable Cause = "unreached"
	CauseQuarantine          Cause = "quarantine"
	CauseCanceled            Cause = "canceled"
	CausePaused              Cause = "paused"
)

// CauseInfo describes one cause to callers.
type CauseInfo struct {
	Cause Cause
	// Status is the HTTP status code of the response.
	Status int
	// Text describes what happened, for the response body.
	Text string
	// Final is the default of Outcome.Final.
	Final bool
	// RetryAfter is the default of Outcome.RetryAfter.
	RetryAfter time.Duration
}

// The default delays before a caller may retry. The long one applies if no target or
// executor is available, or if the outcome depends on another request with the same id.
const (
	shortRetryDelay = 50 * time.Millisecond
	longRetryDelay  = time.Second
)

// CauseInfos describes all causes.
var CauseInfos = []CauseInfo{
	{Cause: CauseBusy, Status: http.StatusTooManyRequests, Text: "no room for the request", RetryAfter: shortRetryDelay},
	{Cause: CauseNoTarget, Status: http.StatusServiceUnavailable, Text: "no target can take the request", RetryAfter: longRetryDelay},
	{Cause: CauseDeadline, Status: http.StatusGatewayTimeout, Text: "the deadline has passed or cannot be met", RetryAfter: shortRetryDelay},
	{Cause: CauseConnectionLost, Status: http.StatusBadGateway, Text: "the target broke off", RetryAfter: shortRetryDelay},
	{Cause: CauseNoSuchKind, Status: http.StatusNotFound, Text: "the settings have no such service or kind", Final: true},
	{Cause: CauseBodyTooLarge, Status: http.StatusRequestEntityTooLarge, Text: "the body is larger than the settings allow", Final: true},
	{Cause: CauseInvalidOperation, Status: http.StatusConflict, Text: "the kind needs a valid operation id of an open epoch; use the executor given here", RetryAfter: shortRetryDelay},
	{Cause: CauseEpochEnded, Status: http.StatusConflict, Text: "the epoch of the operation is over; it will not run again", Final: true},
	{Cause: CauseExecutorEnded, Status: http.StatusConflict, Text: "the executor of the operation is gone; it will not run again", Final: true},
	{Cause: CauseMismatch, Status: http.StatusConflict, Text: "the operation id belongs to another request", Final: true},
	{Cause: CauseResponseDropped, Status: http.StatusConflict, Text: "the operation has run; its answer is no longer kept", Final: true},
	{Cause: CauseExecutorUnreachable, Status: http.StatusBadGateway, Text: "the executor of the operation is out of reach", RetryAfter: longRetryDelay},
	{Cause: CauseQuarantine, Status: http.StatusUnprocessableEntity, Text: "the request broke the targets that ran it", Final: true},
	{Cause: CausePaused, Status: http.StatusServiceUnavailable, Text: "the instance has been paused and is asking its peers what has changed", RetryAfter: shortRetryDelay},
	{Cause: CauseCanceled, Status: http.StatusGatewayTimeout, Text: "the caller went away", RetryAfter: shortRetryDelay},
}

// infoByCause maps each cause to its description in CauseInfos.
var infoByCause = indexByCause(CauseInfos)

func indexByCause(list []CauseInfo) map[Cause]CauseInfo {
	found := make(map[Cause]CauseInfo, len(list))
	for _, info := range list {
		found[info.Cause] = info
	}
	return found
}

// Outcome is the final result of one request.
type Outcome struct {
	Kind  OutcomeKind
	Cause Cause
	// Status, Header and Body are the target's response when Kind is Done.
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter is how long the caller must wait before a retry; 0 if no delay is
	// given.
	RetryAfter time.Duration
	// Final means that the same request would not get a better outcome. The caller must
	// not send it again, or not before RetryAfter if a delay is given, as in quarantine.
	Final bool
	// ExecutorToken is a new token for kinds that run at most once.
	ExecutorToken string
}

// NewNotExecuted returns the outcome of a request that was not executed. If retryAfter
// is 0, the default of the cause applies.
func NewNotExecuted(c Cause, retryAfter time.Duration) *Outcome {
	return newOutcome(NotExecuted, c, retryAfter)
}

// NewUnknown returns the outcome of a request that may have been executed. If
// retryAfter is 0, the default of the cause applies.
func NewUnknown(c Cause, retryAfter time.Duration) *Outcome {
	return newOutcome(Unknown, c, retryAfter)
}

// NewRejected returns the outcome of a request that is rejected before its
// operation id, if any, is looked up. With an id the outcome is Unknown and not
// final, because only the executor can tell whether an earlier request with
// the id was executed.
func NewRejected(c Cause, operation string) *Outcome {
	if operation == "" {
		return NewNotExecuted(c, 0)
	}
	o := NewUnknown(c, longRetryDelay)
	o.Final = false
	return o
}

func newOutcome(k OutcomeKind, c Cause, retryAfter time.Duration) *Outcome {
	info := infoByCause[c]
	if retryAfter <= 0 {
		retryAfter = info.RetryAfter
	}
	return &Outcome{Kind: k, Cause: c, Status: info.Status, RetryAfter: retryAfter, Final: info.Final}
}
