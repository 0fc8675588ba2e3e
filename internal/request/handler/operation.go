package handler

import (
	"context"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/executor"
)

// OperationHandler carries requests of kinds that run at most once. All fields are set
// before the first use.
type OperationHandler struct {
	// Table decides what becomes of an operation that names this incarnation.
	Table *executor.Table
	// Handovers answers for incarnations that have ended.
	Handovers *executor.Handovers
	// Handler carries an operation that this incarnation runs.
	Handler *Handler
	// Forward passes an operation to its executor and returns the executor's answer.
	Forward func(ctx context.Context, to executor.Token, r *Request) *Outcome
}

// Handle carries an operation to its outcome, here or at its executor.
func (p *OperationHandler) Handle(ctx context.Context, r *Request) *Outcome {
	id, err := executor.ParseOperationID(r.Operation)
	if err != nil {
		return p.fresh(NewNotExecuted(CauseOperation, 0))
	}
	now := p.Handler.Clock()
	v := p.Table.Begin(id, uint64(r.sum()), r.Deadline, now)
	if v.Action == executor.Foreign || v.Action == executor.Replaced {
		if owed := p.Handovers.Find(id, uint64(r.sum()), now); owed.Action != executor.Foreign {
			v = owed
		}
	}
	switch v.Action {
	case executor.Run:
		return p.run(ctx, r, v.Record)
	case executor.Wait:
		return p.wait(ctx, r, v.Record)
	case executor.Foreign:
		return p.fresh(p.Forward(ctx, id.Token, r))
	}
	return p.fresh(verdicts[v.Action]())
}

// verdicts holds the outcome of each action that ends an operation at once.
var verdicts = map[executor.Action]func() *Outcome{
	executor.NeverExecuted:   func() *Outcome { return NewNotExecuted(CauseOperation, 0) },
	executor.Forgotten: func() *Outcome { return NewUnknown(CauseForgotten, 0) },
	executor.Mismatch:  func() *Outcome { return NewUnknown(CauseMismatch, 0) },
	executor.Replaced:  func() *Outcome { return NewUnknown(CauseExecutorEnded, 0) },
}

// run carries the operation and keeps its outcome for resends.
func (p *OperationHandler) run(ctx context.Context, r *Request, record *executor.Record) *Outcome {
	r.Permit = func(now time.Time) bool { return p.Table.Send(record, now) }
	r.Disown = func() { p.Table.RevertSend(record) }
	o := p.Handler.Handle(ctx, r)
	p.Table.Finish(record, kept(o), p.Handler.Clock())
	return p.told(record)
}

// wait returns the outcome of the attempt that another sending of the operation
// has started, or says that it is not known yet.
func (p *OperationHandler) wait(ctx context.Context, r *Request, record *executor.Record) *Outcome {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case <-record.Done():
		return p.told(record)
	case <-ctx.Done():
		return NewUnknown(CauseDeadline, retryLate)
	}
}

// told makes the answer from the kept outcome, which is the same for each
// sending of the operation.
func (p *OperationHandler) told(record *executor.Record) *Outcome {
	k := record.Outcome()
	switch {
	case k.Result == executor.Done && k.Dropped:
		return NewUnknown(CauseDropped, 0)
	case k.Result == executor.Done:
		return &Outcome{Kind: Done, Status: k.Status, Header: k.Header, Body: k.Body}
	case k.Result == executor.NotExecuted:
		return p.fresh(NewNotExecuted(known(k.Reason), 0))
	}
	o := NewUnknown(known(k.Reason), 0)
	o.Final, o.RetryAfter = true, 0
	return o
}

// known returns the cause that a record names; the table itself ends a record
// only when its deadline has passed.
func known(reason string) Cause {
	if _, ok := records[Cause(reason)]; ok {
		return Cause(reason)
	}
	return CauseDeadline
}

// fresh adds a token to an outcome after which the operation may come back, which
// it does under a new id, since its own one is used up.
func (p *OperationHandler) fresh(o *Outcome) *Outcome {
	if o.Kind != NotExecuted || o.ExecutorToken != "" {
		return o
	}
	if t, ok := p.Table.Token(p.Handler.Clock()); ok {
		o.ExecutorToken = t.String()
	}
	return o
}

// kept makes the record of an outcome.
func kept(o *Outcome) executor.Outcome {
	k := executor.Outcome{Result: results[o.Kind], Reason: string(o.Cause)}
	if o.Kind == Done {
		k.Status, k.Header, k.Body = o.Status, Strip(o.Header), o.Body
	}
	return k
}

var results = map[OutcomeKind]executor.Result{
	Done:        executor.Done,
	NotExecuted: executor.NotExecuted,
	Unknown:     executor.Unknown,
}
