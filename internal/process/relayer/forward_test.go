package relayer

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

func TestForwardedOperationsGetTheirOwnAnswers(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	peer, run := nodes[1].options.Self.Peer, nodes[1].options.Incarnation
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	group := sync.WaitGroup{}
	for i := range 200 {
		group.Go(func() {
			body := fmt.Appendf(nil, "operation %d", i)
			out, err := nodes[0].Forward(ctx, peer, Operation{Incarnation: run, Body: body})
			if err != nil || !bytes.Equal(out.Body, body) {
				t.Errorf("%s: answer %s, error %v", body, out.Body, err)
			}
		})
	}
	group.Wait()
}

func TestExecutorThatStopsLeavesNoAnswer(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	asking, stopping := nodes[0], nodes[1]
	started, release := make(chan bool), make(chan bool)
	stopping.options.Execute = func(context.Context, Operation) Outcome {
		close(started)
		<-release
		return Outcome{Status: 200}
	}
	go func() {
		<-started
		stopping.Stop()
	}()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	_, err := asking.Forward(ctx, stopping.options.Self.Peer, Operation{Incarnation: stopping.options.Incarnation})
	if got := failureOf(t, err); got != Unanswered {
		t.Errorf("%s, want %s", got, Unanswered)
	}
	close(release)
}

func TestGivingUpCancelsTheOperation(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	started, ended := make(chan bool), make(chan bool)
	nodes[1].options.Execute = func(ctx context.Context, _ Operation) Outcome {
		close(started)
		<-ctx.Done()
		close(ended)
		return Outcome{}
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := nodes[0].Forward(ctx, nodes[1].options.Self.Peer, Operation{Incarnation: nodes[1].options.Incarnation})
	if got := failureOf(t, err); got != Unanswered {
		t.Errorf("%s, want %s", got, Unanswered)
	}
	<-ended
}

// stale pools a connection at one node on which an earlier incarnation of the
// other seems to answer.
func stale(t *testing.T, at, of *node) *link {
	t.Helper()
	earlier := framer.Endpoint{
		Identity: framer.Identity{Peer: of.options.Self.Peer, Incarnation: of.options.Incarnation + 2},
		Keys:     at.options.Keys, MaxFrame: MaxFrame, Timeout: peerTimeout,
	}
	c, err := earlier.Dial(t.Context(), at.options.Self.Peer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	found := func() *link {
		at.pool.mutex.Lock()
		defer at.pool.mutex.Unlock()
		return at.pool.links[of.options.Self.Peer]
	}
	eventually(t, "the stale connection", func() bool {
		l := found()
		return l != nil && l.conn.Remote() == earlier.Identity
	})
	return found()
}

// pooled is a broken choice of the executor's connection: it takes the word of a
// pooled connection for which incarnation runs.
func pooled(ctx context.Context, r *Relayer, peer netip.AddrPort, incarnation uint64) error {
	l, err := r.pool.get(ctx, peer)
	if err == nil && l.conn.Remote().Incarnation != incarnation {
		return &ForwardError{Peer: peer, Failure: Replaced}
	}
	return err
}

func TestOnlyAFreshConnectionProvesReplacement(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	a, b := nodes[0], nodes[1]
	stale(t, a, b)
	if err := pooled(t.Context(), a.Relayer, b.options.Self.Peer, b.options.Incarnation); err == nil {
		t.Error("the check does not see a choice that trusts the pooled connection")
	}
	out, err := a.Forward(t.Context(), b.options.Self.Peer, Operation{Incarnation: b.options.Incarnation})
	if err != nil || out.Status != 200 {
		t.Errorf("status %d, error %v: the executor runs", out.Status, err)
	}
}

// TestExecutingUntilAnswered stops an executor once it executes nothing: the
// answer has left before.
func TestExecutingUntilAnswered(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	asking, stopping := nodes[0], nodes[1]
	released := make(chan bool)
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	stopping.options.Execute = func(_ context.Context, _ Operation) Outcome {
		<-released
		return Outcome{Status: 200, Body: make([]byte, 1<<20)}
	}
	answered := make(chan error, 1)
	go func() {
		_, err := asking.Forward(t.Context(), stopping.options.Self.Peer, Operation{Incarnation: stopping.options.Incarnation})
		answered <- err
	}()
	eventually(t, "the operation", func() bool { return stopping.Executing() == 1 })
	release()
	eventually(t, "the answer", func() bool { return stopping.Executing() == 0 })
	stopping.Stop()
	if err := <-answered; err != nil {
		t.Error(err)
	}
}

func TestOverdueOperationIsNotSent(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	o := Operation{Incarnation: nodes[1].options.Incarnation}
	ctx, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	for _, c := range []context.Context{t.Context(), ctx, t.Context()} {
		_, err := nodes[0].Forward(c, nodes[1].options.Self.Peer, o)
		if late := c == ctx; late != (err != nil) || late && failureOf(t, err) != Unsent {
			t.Errorf("late %v: %v", late, err)
		}
	}
	if n := nodes[1].executed.Load(); n != 2 {
		t.Errorf("%d operations were executed, not 2", n)
	}
}
