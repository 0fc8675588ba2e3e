package handler

import (
	"context"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/executor"
)

// OperationHandler handles requests of kinds that run at most once. All fields must
// be set before the first use.
type OperationHandler struct {
	// Table decides about the operations of this incarnation.
	Table *executor.Table
	// Handovers holds the outcomes of operations of incarnations that have ended.
	Handovers *executor.Handovers
	// Handler handles the operations that this incarnation runs.
	Handler *Handler
	// Forward sends an operation to its executor and returns the outcome.
	Forward func(ctx context.Context, to executor.Token, r *Request) *Outcome
}

// Handle returns the outcome of an operation. It runs the operation or, if another
// instance is the executor, forwards it.
func (h *OperationHandler) Handle(ctx context.Context, r *Request) *Outcome {
	id, err := executor.ParseOperationID(r.Operation)
	if err != nil {
		return h.addToken(NewNotExecuted(CauseInvalidOperation, 0))
	}
	now := h.Handler.Clock()
	decision := h.Table.Begin(id, uint64(r.contentFingerprint()), r.Deadline, now)
	if decision.Action == executor.Foreign || decision.Action == executor.Replaced {
		if handedOver := h.Handovers.Find(id, uint64(r.contentFingerprint()), now); handedOver.Action != executor.Foreign {
			decision = handedOver
		}
	}
	switch decision.Action {
	case executor.Run:
		return h.run(ctx, r, decision.Record)
	case executor.Wait:
		return h.wait(ctx, r, decision.Record)
	case executor.Foreign:
		return h.addToken(h.Forward(ctx, id.Token, r))
	}
	return h.addToken(outcomeOfAction[decision.Action]())
}

// outcomeOfAction holds a constructor of the outcome for each action that ends a
// request without running or forwarding the operation.
var outcomeOfAction = map[executor.Action]func() *Outcome{
	executor.NeverExecuted: func() *Outcome { return NewNotExecuted(CauseInvalidOperation, 0) },
	executor.Forgotten:     func() *Outcome { return NewUnknown(CauseEpochEnded, 0) },
	executor.Mismatch:      func() *Outcome { return NewUnknown(CauseMismatch, 0) },
	executor.Replaced:      func() *Outcome { return NewUnknown(CauseExecutorEnded, 0) },
}

// run runs the operation and records its outcome for resends.
func (h *OperationHandler) run(ctx context.Context, r *Request, record *executor.Record) *Outcome {
	r.Permit = func(now time.Time) bool { return h.Table.MarkSent(record, now) }
	r.OnNotExecuted = func() { h.Table.UnmarkSent(record) }
	o := h.Handler.Handle(ctx, r)
	h.Table.Finish(record, executorOutcome(o), h.Handler.Clock())
	return h.recordedOutcome(record)
}

// wait waits for the outcome of an operation that another request has begun. If the
// deadline passes first, the outcome is unknown and the caller may retry.
func (h *OperationHandler) wait(ctx context.Context, r *Request, record *executor.Record) *Outcome {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case <-record.Done():
		return h.recordedOutcome(record)
	case <-ctx.Done():
		return NewUnknown(CauseDeadline, longRetryDelay)
	}
}

// recordedOutcome returns the outcome in the record, which is the same for all
// requests with the id.
func (h *OperationHandler) recordedOutcome(record *executor.Record) *Outcome {
	recorded := record.Outcome()
	switch {
	case recorded.Result == executor.Done && recorded.Dropped:
		return NewUnknown(CauseResponseDropped, 0)
	case recorded.Result == executor.Done:
		return &Outcome{Kind: Done, Status: recorded.Status, Header: recorded.Header, Body: recorded.Body}
	case recorded.Result == executor.NotExecuted:
		return h.addToken(NewNotExecuted(knownCause(recorded.Reason), 0))
	}
	o := NewUnknown(knownCause(recorded.Reason), 0)
	o.Final, o.RetryAfter = true, 0
	return o
}

// knownCause returns the cause that a record holds as its reason. Any other reason, or
// none, comes from the table: the deadline passed before the operation was sent, or the
// executor stopped while the operation was running.
func knownCause(reason string) Cause {
	if _, ok := infoByCause[Cause(reason)]; ok {
		return Cause(reason)
	}
	return CauseDeadline
}

// addToken adds a token to a NotExecuted outcome. The caller needs it to send the
// operation again, because the old id is used up.
func (h *OperationHandler) addToken(o *Outcome) *Outcome {
	if o.Kind != NotExecuted || o.ExecutorToken != "" {
		return o
	}
	if t, ok := h.Table.Token(h.Handler.Clock()); ok {
		o.ExecutorToken = t.String()
	}
	return o
}

// executorOutcome returns the outcome in the form that the executor records.
func executorOutcome(o *Outcome) executor.Outcome {
	recorded := executor.Outcome{Result: executorResults[o.Kind], Reason: string(o.Cause)}
	if o.Kind == Done {
		recorded.Status, recorded.Header, recorded.Body = o.Status, StripHeaders(o.Header), o.Body
	}
	return recorded
}

// executorResults maps the kinds of outcomes to those that the executor records.
var executorResults = map[OutcomeKind]executor.Result{
	Done:        executor.Done,
	NotExecuted: executor.NotExecuted,
	Unknown:     executor.Unknown,
}
