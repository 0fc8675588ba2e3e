package relayer

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// Forward sends an operation to the peer and returns the outcome. Only the
// incarnation that the operation names executes it. An error is a *ForwardError.
func (r *Relayer) Forward(ctx context.Context, peer netip.AddrPort, o Operation) (Outcome, error) {
	if r.HasEnded(peer, o.Incarnation) {
		return Outcome{}, &ForwardError{Peer: peer, Failure: Replaced}
	}
	l, err := r.executorLink(ctx, peer, o.Incarnation)
	if err != nil {
		return Outcome{}, err
	}
	if deadline, set := ctx.Deadline(); set {
		o.Timeout = time.Until(deadline)
		if o.Timeout <= 0 {
			// The peer would read a zero timeout as no deadline.
			return Outcome{}, &ForwardError{Peer: peer, Failure: Unsent, Cause: context.DeadlineExceeded}
		}
	}
	call, err := l.startCall(kindOperation, &o)
	if err != nil && !trace.IsLimitExceeded(err) {
		// The pooled connection had ended, so the operation was not sent. An operation
		// that exceeds MaxFrameBytes is not retried.
		if l, err = r.pool.redial(ctx, l); err == nil {
			call, err = l.startCall(kindOperation, &o)
		}
	}
	if err != nil {
		return Outcome{}, &ForwardError{Peer: peer, Failure: Unsent, Cause: err}
	}
	response := operationResponse{}
	if err := call.wait(ctx, &response); err != nil {
		// The executor may still complete the operation or may stop early. Its
		// effect is unknown in both cases.
		_ = l.send(kindCancel, call.id, nil)
		return Outcome{}, &ForwardError{Peer: peer, Failure: Unanswered, Cause: err}
	}
	if response.NotExecuted {
		return Outcome{}, &ForwardError{Peer: peer, Failure: Replaced}
	}
	if response.OutcomeTooLarge {
		return Outcome{}, &ForwardError{Peer: peer, Failure: Unanswered, Cause: trace.LimitExceeded("outcome exceeds the maximum frame size")}
	}
	return response.Outcome, nil
}

// executorLink returns a connection to the incarnation. A pooled connection may
// lead to an older incarnation, so only a new connection proves that the wanted
// incarnation has been replaced.
func (r *Relayer) executorLink(ctx context.Context, peer netip.AddrPort, incarnation uint64) (*link, error) {
	l, err := r.pool.get(ctx, peer)
	if err == nil && l.conn.Remote().Incarnation != incarnation {
		l, err = r.pool.redial(ctx, l)
	}
	if err != nil {
		return nil, &ForwardError{Peer: peer, Failure: Unsent, Cause: err}
	}
	if l.conn.Remote().Incarnation != incarnation {
		return nil, &ForwardError{Peer: peer, Failure: Replaced}
	}
	return l, nil
}

// handleOperation executes an operation for a peer, unless it names another
// incarnation.
func (r *Relayer) handleOperation(l *link, m framer.Message, _ time.Time) error {
	o := Operation{}
	if err := m.Decode(&o); err != nil {
		return err
	}
	if o.Incarnation != r.options.Incarnation || r.options.Execute == nil {
		r.spawn(func() { sendOutcome(l, m.ID, &operationResponse{NotExecuted: true}) })
		return nil
	}
	ctx, cancel := r.operationContext(o.Timeout)
	l.mutex.Lock()
	l.operations[m.ID] = cancel
	l.mutex.Unlock()
	r.spawn(func() {
		defer l.endOperation(m.ID)
		sendOutcome(l, m.ID, &operationResponse{Outcome: r.options.Execute(ctx, o)})
	})
	return nil
}

// operationContext returns the context in which an operation is executed. A timeout
// of 0 sets no deadline.
func (r *Relayer) operationContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout > 0 {
		return context.WithTimeout(r.context, timeout)
	}
	return context.WithCancel(r.context)
}

// sendOutcome sends the response to an operation. In place of an outcome that does
// not fit into a frame, it reports that the outcome is too large.
func sendOutcome(l *link, id uint64, o *operationResponse) {
	if err := l.send(kindOutcome, id, o); trace.IsLimitExceeded(err) {
		// The caller detects a broken connection itself.
		_ = l.send(kindOutcome, id, &operationResponse{OutcomeTooLarge: true})
	}
}

// Executing returns the number of operations of peers that are being executed or
// whose outcomes are being sent.
func (r *Relayer) Executing() int {
	total := 0
	for _, l := range r.pool.open() {
		l.mutex.Lock()
		total += len(l.operations)
		l.mutex.Unlock()
	}
	return total
}

// endOperation cancels the context of an operation of the peer and removes the
// operation.
func (l *link) endOperation(id uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if cancel := l.operations[id]; cancel != nil {
		cancel()
		delete(l.operations, id)
	}
}

func handleCancel(l *link, m framer.Message, _ time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if cancel := l.operations[m.ID]; cancel != nil {
		cancel()
	}
	return nil
}
