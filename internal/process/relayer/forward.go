package relayer

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// Forward has an operation executed by the incarnation that it names at a peer.
// The error is a *ForwardError.
func (r *Relayer) Forward(ctx context.Context, peer netip.AddrPort, o Operation) (Outcome, error) {
	if r.Ended(peer, o.Incarnation) {
		return Outcome{}, &ForwardError{Peer: peer, Failure: Replaced}
	}
	l, err := r.executor(ctx, peer, o.Incarnation)
	if err != nil {
		return Outcome{}, err
	}
	if deadline, set := ctx.Deadline(); set {
		o.Timeout = time.Until(deadline)
		if o.Timeout <= 0 {
			// Sent without time left it would count as one without a deadline.
			return Outcome{}, &ForwardError{Peer: peer, Failure: Unsent, Cause: context.DeadlineExceeded}
		}
	}
	q, err := l.ask(kindOperation, &o)
	if err != nil && !trace.IsLimitExceeded(err) {
		// The pooled connection had ended; the operation did not leave.
		if l, err = r.pool.renew(ctx, l); err == nil {
			q, err = l.ask(kindOperation, &o)
		}
	}
	if err != nil {
		return Outcome{}, &ForwardError{Peer: peer, Failure: Unsent, Cause: err}
	}
	a := outcome{}
	if err := q.wait(ctx, &a); err != nil {
		// The executor may stop early; what it does is unknown either way.
		_ = l.send(kindCancel, q.id, nil)
		return Outcome{}, &ForwardError{Peer: peer, Failure: Unanswered, Cause: err}
	}
	if a.Refused {
		return Outcome{}, &ForwardError{Peer: peer, Failure: Replaced}
	}
	if a.Lost {
		return Outcome{}, &ForwardError{Peer: peer, Failure: Unanswered, Cause: trace.LimitExceeded("the answer does not fit a frame")}
	}
	return a.Outcome, nil
}

// executor returns a connection to the incarnation. Only a connection dialed now
// proves that another one has taken its place.
func (r *Relayer) executor(ctx context.Context, peer netip.AddrPort, incarnation uint64) (*link, error) {
	l, err := r.pool.get(ctx, peer)
	if err == nil && l.conn.Remote().Incarnation != incarnation {
		l, err = r.pool.renew(ctx, l)
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
		r.spawn(func() { answer(l, m.ID, &outcome{Refused: true}) })
		return nil
	}
	ctx, cancel := r.bounded(o.Timeout)
	l.mutex.Lock()
	l.running[m.ID] = cancel
	l.mutex.Unlock()
	r.spawn(func() {
		defer l.ended(m.ID)
		answer(l, m.ID, &outcome{Outcome: r.options.Execute(ctx, o)})
	})
	return nil
}

// bounded returns the context of an operation with some time left; 0 is no bound.
func (r *Relayer) bounded(left time.Duration) (context.Context, context.CancelFunc) {
	if left > 0 {
		return context.WithTimeout(r.context, left)
	}
	return context.WithCancel(r.context)
}

// answer sends an outcome; one that does not fit is reported as lost.
func answer(l *link, id uint64, o *outcome) {
	if err := l.send(kindOutcome, id, o); trace.IsLimitExceeded(err) {
		// The one who asked hears of a broken connection from the connection.
		_ = l.send(kindOutcome, id, &outcome{Lost: true})
	}
}

// Executing returns the number of operations that run for peers or whose answers
// are on their way.
func (r *Relayer) Executing() int {
	total := 0
	for _, l := range r.pool.open() {
		l.mutex.Lock()
		total += len(l.running)
		l.mutex.Unlock()
	}
	return total
}

// ended closes an operation that ran for the other side.
func (l *link) ended(id uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if cancel := l.running[id]; cancel != nil {
		cancel()
		delete(l.running, id)
	}
}

func handleCancel(l *link, m framer.Message, _ time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if cancel := l.running[m.ID]; cancel != nil {
		cancel()
	}
	return nil
}
