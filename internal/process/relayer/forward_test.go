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

// Concurrent operations share one connection. Each must get its own outcome.
func TestForwardReturnsTheMatchingOutcome(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	peer, incarnation := nodes[1].options.Self.Peer, nodes[1].options.Incarnation
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	group := sync.WaitGroup{}
	for i := range 200 {
		group.Go(func() {
			body := fmt.Appendf(nil, "operation %d", i)
			out, err := nodes[0].Forward(ctx, peer, Operation{Incarnation: incarnation, Body: body})
			if err != nil || !bytes.Equal(out.Body, body) {
				t.Errorf("%s: outcome %s, error %v", body, out.Body, err)
			}
		})
	}
	group.Wait()
}

// An executor that stops during an operation may have executed it in part. Forward must
// not report it as unsent or replaced, because the caller would then repeat it.
func TestForwardIsUnansweredWhenTheExecutorStops(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	client, executor := nodes[0], nodes[1]
	started, release := make(chan bool), make(chan bool)
	executor.options.Execute = func(context.Context, Operation) Outcome {
		close(started)
		<-release
		return Outcome{Status: 200}
	}
	go func() {
		<-started
		executor.Stop()
	}()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	_, err := client.Forward(ctx, executor.options.Self.Peer, Operation{Incarnation: executor.options.Incarnation})
	if got := failureOf(t, err); got != Unanswered {
		t.Errorf("%s, want %s", got, Unanswered)
	}
	close(release)
}

// When the caller gives up, the executor must learn of it and stop the operation.
func TestCanceledForwardCancelsTheOperation(t *testing.T) {
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

// addStaleLink adds a connection to the client's pool that appears to lead to another
// incarnation of the executor, as if the executor had restarted since.
func addStaleLink(t *testing.T, client, executor *node) *link {
	t.Helper()
	other := framer.Endpoint{
		Identity: framer.Identity{Peer: executor.options.Self.Peer, Incarnation: executor.options.Incarnation + 2},
		Keys:     client.options.Keys, MaxPayloadBytes: MaxFrameBytes, Timeout: peerTimeout,
	}
	c, err := other.Dial(t.Context(), client.options.Self.Peer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	pooledLink := func() *link {
		client.pool.mutex.Lock()
		defer client.pool.mutex.Unlock()
		return client.pool.links[executor.options.Self.Peer]
	}
	eventually(t, "the stale connection in the pool", func() bool {
		l := pooledLink()
		return l != nil && l.conn.Remote() == other.Identity
	})
	return pooledLink()
}

// checkPooledLink is a broken variant of executorLink. It concludes from a pooled
// connection that the incarnation has been replaced.
func checkPooledLink(ctx context.Context, r *Relayer, peer netip.AddrPort, incarnation uint64) error {
	l, err := r.pool.get(ctx, peer)
	if err == nil && l.conn.Remote().Incarnation != incarnation {
		return &ForwardError{Peer: peer, Failure: Replaced}
	}
	return err
}

// A pooled connection may lead to an incarnation that ended long ago. If Forward
// trusted it, it would report the running incarnation as replaced.
func TestOnlyAFreshConnectionProvesReplacement(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	a, b := nodes[0], nodes[1]
	addStaleLink(t, a, b)
	if err := checkPooledLink(t.Context(), a.Relayer, b.options.Self.Peer, b.options.Incarnation); err == nil {
		t.Error("a check that trusts the pooled connection did not report Replaced, so this test detects no error")
	}
	out, err := a.Forward(t.Context(), b.options.Self.Peer, Operation{Incarnation: b.options.Incarnation})
	if err != nil || out.Status != 200 {
		t.Errorf("status %d, error %v; want status 200 because the executor is running", out.Status, err)
	}
}

// An instance shuts down when Executing returns 0. If an operation stopped counting
// before its outcome is sent, the caller would not receive the outcome.
func TestExecutingCountsUntilTheOutcomeIsSent(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	client, executor := nodes[0], nodes[1]
	released := make(chan bool)
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	executor.options.Execute = func(_ context.Context, _ Operation) Outcome {
		<-released
		return Outcome{Status: 200, Body: make([]byte, 1<<20)}
	}
	result := make(chan error, 1)
	go func() {
		_, err := client.Forward(t.Context(), executor.options.Self.Peer, Operation{Incarnation: executor.options.Incarnation})
		result <- err
	}()
	eventually(t, "the operation to start", func() bool { return executor.Executing() == 1 })
	release()
	eventually(t, "the outcome to be sent", func() bool { return executor.Executing() == 0 })
	executor.Stop()
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// The executor reads a zero timeout as no deadline, so an operation whose deadline
// has passed must not be sent.
func TestExpiredOperationIsNotSent(t *testing.T) {
	nodes := startFleet(t, 2, testPeriod)
	o := Operation{Incarnation: nodes[1].options.Incarnation}
	ctx, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	for _, c := range []context.Context{t.Context(), ctx, t.Context()} {
		_, err := nodes[0].Forward(c, nodes[1].options.Self.Peer, o)
		if expired := c == ctx; expired != (err != nil) || expired && failureOf(t, err) != Unsent {
			t.Errorf("expired %v: error %v", expired, err)
		}
	}
	if n := nodes[1].executed.Load(); n != 2 {
		t.Errorf("%d operations were executed, want 2", n)
	}
}
