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
func (p *OperationHandler) Handle(ctx context.Context, r *Request) *Outcome {
	id, err := executor.ParseOperationID(r.Operation)
	if err != nil {
		return p.addToken(NewNotExecuted(CauseInvalidOperation, 0))
	}
	now := p.Handler.Clock()
	decision := p.Table.Begin(id, uint64(r.contentFingerprint()), r.Deadline, now)
	if decision.Action == executor.Foreign || decision.Action == executor.Replaced {
		if handedOver := p.Handovers.Find(id, uint64(r.contentFingerprint()), now); handedOver.Action != executor.Foreign {
			decision = handedOver
		}
	}
	switch decision.Action {
	case executor.Run:
		return p.run(ctx, r, decision.Record)
	case executor.Wait:
		return p.wait(ctx, r, decision.Record)
	case executor.Foreign:
		return p.addToken(p.Forward(ctx, id.Token, r))
	}
	return p.addToken(outcomeOfAction[decision.Action]())
}

// outcomeOfAction returns the outcome for each action that ends a request without
// running or forwarding the operation.
var outcomeOfAction = map[executor.Action]func() *Outcome{
	executor.NeverExecuted: func() *Outcome { return NewNotExecuted(CauseInvalidOperation, 0) },
	executor.Forgotten:     func() *Outcome { return NewUnknown(CauseEpochEnded, 0) },
	executor.Mismatch:      func() *Outcome { return NewUnknown(CauseMismatch, 0) },
	executor.Replaced:      func() *Outcome { return NewUnknown(CauseExecutorEnded, 0) },
}

// run runs the operation and records its outcome for resends.
func (p *OperationHandler) run(ctx context.Context, r *Request, record *executor.Record) *Outcome {
	r.Permit = func(now time.Time) bool { return p.Table.Send(record, now) }
	r.OnNotExecuted = func() { p.Table.RevertSend(record) }
	o := p.Handler.Handle(ctx, r)
	p.Table.Finish(record, executorOutcome(o), p.Handler.Clock())
	return p.recordedOutcome(record)
}

// wait waits for the outcome of an operation that another sending has begun. If the
// deadline passes first, the outcome is unknown and the caller may retry.
func (p *OperationHandler) wait(ctx context.Context, r *Request, record *executor.Record) *Outcome {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case <-record.Done():
		return p.recordedOutcome(record)
	case <-ctx.Done():
		return NewUnknown(CauseDeadline, longRetryDelay)
	}
}

// recordedOutcome returns the outcome in the record, which is the same for each
// sending of the operation.
func (p *OperationHandler) recordedOutcome(record *executor.Record) *Outcome {
	k := record.Outcome()
	switch {
	case k.Result == executor.Done && k.Dropped:
		return NewUnknown(CauseResponseDropped, 0)
	case k.Result == executor.Done:
		return &Outcome{Kind: Done, Status: k.Status, Header: k.Header, Body: k.Body}
	case k.Result == executor.NotExecuted:
		return p.addToken(NewNotExecuted(knownCause(k.Reason), 0))
	}
	o := NewUnknown(knownCause(k.Reason), 0)
	o.Final, o.RetryAfter = true, 0
	return o
}

// knownCause returns the cause in a record. Any other reason comes from the table
// itself, which ends a record only when its deadline has passed.
func knownCause(reason string) Cause {
	if _, ok := infoByCause[Cause(reason)]; ok {
		return Cause(reason)
	}
	return CauseDeadline
}

// addToken adds a token to a NotExecuted outcome. The caller needs it to send the
// operation again, because the old id is used up.
func (p *OperationHandler) addToken(o *Outcome) *Outcome {
	if o.Kind != NotExecuted || o.ExecutorToken != "" {
		return o
	}
	if t, ok := p.Table.Token(p.Handler.Clock()); ok {
		o.ExecutorToken = t.String()
	}
	return o
}

// executorOutcome returns the outcome in the form that the executor records.
func executorOutcome(o *Outcome) executor.Outcome {
	k := executor.Outcome{Result: executorResults[o.Kind], Reason: string(o.Cause)}
	if o.Kind == Done {
		k.Status, k.Header, k.Body = o.Status, StripHeaders(o.Header), o.Body
	}
	return k
}

// executorResults maps the kinds of outcomes to those that the executor records.
var executorResults = map[OutcomeKind]executor.Result{
	Done:        executor.Done,
	NotExecuted: executor.NotExecuted,
	Unknown:     executor.Unknown,
}
