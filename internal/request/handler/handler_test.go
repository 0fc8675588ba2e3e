package handler

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/dispatcher"
	"oriolecourse.example/oriolecourse/internal/process/executor"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// reply is the scripted result of one attempt at a fake target.
type reply struct {
	// after delays the reply; a canceled attempt ends at once.
	after  time.Duration
	status int
	effect sender.Effect
}

// beyondDeadline is longer than any deadline of these tests.
const beyondDeadline = time.Minute

var errNoResponse = errors.New("no response")

// fakeTargets is a set of targets that share one script: the first attempt gets the
// first reply and so on; the last reply is repeated.
type fakeTargets struct {
	mutex  sync.Mutex
	script []reply
	sentTo []netip.AddrPort
	// ended is the number of attempts that have returned.
	ended int
	// rumors is the number of rumors sent to the peers.
	rumors int
}

func (f *fakeTargets) send(ctx context.Context, target netip.AddrPort, _ sender.Request) (*sender.Response, sender.Effect, error) {
	f.mutex.Lock()
	n := len(f.sentTo)
	r := f.script[min(n, len(f.script)-1)]
	f.sentTo = append(f.sentTo, target)
	f.mutex.Unlock()
	defer func() { f.mutex.Lock(); f.ended++; f.mutex.Unlock() }()
	select {
	case <-ctx.Done():
		return nil, sender.Lost, ctx.Err()
	case <-time.After(r.after):
	}
	if r.effect == sender.Lost || r.effect == sender.Unsent {
		return nil, r.effect, errNoResponse
	}
	return &sender.Response{Status: r.status, Header: http.Header{}, Body: []byte(strconv.Itoa(n))}, r.effect, nil
}

func (f *fakeTargets) sent() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.sentTo)
}

func policy(once bool) *resolver.Policy {
	return &resolver.Policy{
		Place: "p", Service: "s", Kind: "k", AtMostOnce: once,
		Deadline: 300 * time.Millisecond, MaxWait: 100 * time.Millisecond, Queue: 10, RetryRatio: 0.5,
		HedgeDelay: 20 * time.Millisecond, HedgeRatio: 0.5, Slots: 2, Spare: 1, Connections: 100, Fleet: 10,
		Failures: 5, EjectionTime: time.Second, MaxBodyBytes: 1000,
	}
}

func newHandler(f *fakeTargets, p *resolver.Policy, targets int) *Handler {
	d := dispatcher.New(p.Place, p.Service)
	var known []dispatcher.Target
	for n := range targets {
		known = append(known, dispatcher.Target{Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n+1)), Owned: true})
	}
	d.Configure(p, known, time.Now())
	return &Handler{
		Dispatcher:     func(string, string) *dispatcher.Dispatcher { return d },
		Paused:         func(time.Time) bool { return false },
		Quarantine:     quarantiner.New(quarantiner.DefaultLimits),
		Send:           f.send,
		TargetStart:    func(*Request, netip.AddrPort) string { return "run" },
		ObserveHeaders: func(*Request, netip.AddrPort, http.Header, time.Time, time.Time) {},
		SpreadRumor:    func(quarantiner.Rumor) { f.mutex.Lock(); f.rumors++; f.mutex.Unlock() },
		AddCost:        func(*Request, Attempt) {},
		Clock:          time.Now,
		Tracer:         noop.NewTracerProvider().Tracer(""),
	}
}

func request(p *resolver.Policy) *Request {
	return NewRequest(p, http.MethodPost, "/k/x", http.Header{}, []byte("body"), time.Now())
}

// TestOutcomes checks the outcome and the number of attempts for each result that a
// target can give. It fails if a request is retried where that is unsafe, or if an
// outcome claims more about the request's effect than is known.
func TestOutcomes(t *testing.T) {
	done := reply{status: 200, effect: sender.Done}
	failed := reply{status: 500, effect: sender.Done}
	shed := reply{status: 503, effect: sender.NotExecuted}
	lost := reply{effect: sender.Lost}
	unsent := reply{effect: sender.Unsent}
	hangs := reply{after: beyondDeadline, effect: sender.Done}
	tests := []struct {
		name    string
		once    bool
		targets int
		script  []reply
		kind    OutcomeKind
		cause   Cause
		sent    int
	}{
		{"idempotent: done", false, 3, []reply{done}, Done, CauseNone, 1},
		{"idempotent: a server error is retried at another target", false, 3, []reply{failed, done}, Done, CauseNone, 2},
		{"idempotent: a lost connection is retried at another target", false, 3, []reply{lost, done}, Done, CauseNone, 2},
		{"idempotent: two targets lose the connection", false, 3, []reply{lost}, Unknown, CauseQuarantine, 2},
		{"idempotent: a shed request is retried at another target", false, 3, []reply{shed, done}, Done, CauseNone, 2},
		{"idempotent: all targets shed", false, 3, []reply{shed}, NotExecuted, CauseBusy, 3},
		{"idempotent: all targets refuse connections", false, 3, []reply{unsent}, NotExecuted, CauseNoTarget, 3},
		{"idempotent: no response before the deadline", false, 1, []reply{hangs}, Unknown, CauseDeadline, 1},
		{"idempotent: the hedge wins", false, 3, []reply{hangs, done}, Done, CauseNone, 2},
		{"idempotent: no target", false, 0, []reply{done}, NotExecuted, CauseNoTarget, 0},
		{"once: done", true, 3, []reply{done}, Done, CauseNone, 1},
		{"once: a server error is the response and is not retried", true, 3, []reply{failed, done}, Done, CauseNone, 1},
		{"once: a lost connection is not retried and leaves the outcome unknown", true, 3, []reply{lost, done}, Unknown, CauseConnectionLost, 1},
		{"once: a shed request is retried at another target", true, 3, []reply{shed, done}, Done, CauseNone, 2},
		{"once: no hedge", true, 3, []reply{hangs, done}, Unknown, CauseDeadline, 1},
		{"once: no target", true, 0, []reply{done}, NotExecuted, CauseNoTarget, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeTargets{script: c.script}
			p := policy(c.once)
			if !slices.Contains(c.script, hangs) {
				// On a busy machine a reply without delay may take longer than the hedge delay.
				p.HedgeDelay = p.Deadline
			}
			o := newHandler(f, p, c.targets).Handle(context.Background(), request(p))
			require.Equal(t, c.kind, o.Kind)
			require.Equal(t, c.cause, o.Cause)
			require.Equal(t, c.sent, f.sent())
		})
	}
}

// TestPausedInstanceStartsNoWork guards against an instance that acts on outdated
// state: after a pause of its process it sends no request before it has asked its
// peers for the changes it missed.
func TestPausedInstanceStartsNoWork(t *testing.T) {
	f := &fakeTargets{script: []reply{{status: 200, effect: sender.Done}}}
	p := policy(false)
	h := newHandler(f, p, 3)
	h.Paused = func(time.Time) bool { return true }
	o := h.Handle(context.Background(), request(p))
	require.Equal(t, NotExecuted, o.Kind)
	require.Equal(t, CausePaused, o.Cause)
	require.Zero(t, f.sent())
}

// TestLosingAttemptIsCanceled checks that the first attempt is canceled when its hedge
// gets a response. Otherwise it would occupy a slot of its target until the deadline.
func TestLosingAttemptIsCanceled(t *testing.T) {
	f := &fakeTargets{script: []reply{{after: beyondDeadline, effect: sender.Done}, {status: 200, effect: sender.Done}}}
	p := policy(false)
	o := newHandler(f, p, 3).Handle(context.Background(), request(p))
	require.Equal(t, "1", string(o.Body), "the response is that of the hedge")
	require.Eventually(t, func() bool {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return f.ended == 2
	}, time.Second, time.Millisecond, "the first attempt is canceled")
}

// TestCrashingRequestIsContained guards against the loss of all targets to one
// request that crashes each of them and is retried by its caller.
func TestCrashingRequestIsContained(t *testing.T) {
	f := &fakeTargets{script: []reply{{effect: sender.Lost}}}
	p := policy(false)
	h := newHandler(f, p, 5)
	run := 0
	h.TargetStart = func(*Request, netip.AddrPort) string { run++; return strconv.Itoa(run) }
	for range 6 {
		h.Handle(context.Background(), request(p))
	}
	o := h.Handle(context.Background(), request(p))
	require.Equal(t, CauseQuarantine, o.Cause)
	require.True(t, o.Final)
	require.Positive(t, o.RetryAfter, "the outcome has a delay before a retry")
	require.LessOrEqual(t, f.sent(), 3, "at most three targets are lost")
	f.script = []reply{{status: 200, effect: sender.Done}}
	other := request(p)
	other.Body = []byte("other")
	require.Equal(t, Done, h.Handle(context.Background(), other).Kind, "other requests still run")
}

func newOperationHandler(f *fakeTargets, p *resolver.Policy) *OperationHandler {
	limits := executor.Limits{EpochDuration: time.Minute, TokenGrace: time.Second, RecordRetention: time.Minute, EpochCapacity: 100, MaxEpochs: 4, MaxResponseBytes: 1 << 20}
	return &OperationHandler{
		Table:     executor.New(netip.MustParseAddrPort("127.0.0.1:9"), 7, limits, time.Now()),
		Handovers: executor.NewHandovers(),
		Handler:   newHandler(f, p, 3),
		Forward: func(context.Context, executor.Token, *Request) *Outcome {
			return NewUnknown(CauseExecutorUnreachable, 0)
		},
	}
}

// TestOperations sends three requests for each operation. The outcome must be the same
// for all of them, and only the first one may reach a target.
func TestOperations(t *testing.T) {
	tests := []struct {
		name     string
		script   []reply
		id       string
		kind     OutcomeKind
		cause    Cause
		final    bool
		newToken bool
		sent     int
	}{
		{"all requests share one execution", []reply{{status: 200, effect: sender.Done}}, "127.0.0.1:9~0000000000000007~1/a", Done, CauseNone, false, false, 1},
		{"an unknown outcome after a lost connection is final", []reply{{effect: sender.Lost}}, "127.0.0.1:9~0000000000000007~1/a", Unknown, CauseConnectionLost, true, false, 1},
		{"a shed operation gets a token for a new id", []reply{{status: 503, effect: sender.NotExecuted}}, "127.0.0.1:9~0000000000000007~1/a", NotExecuted, CauseBusy, false, true, 3},
		{"no id", nil, "", NotExecuted, CauseInvalidOperation, false, true, 0},
		{"an invalid id", nil, "x/y", NotExecuted, CauseInvalidOperation, false, true, 0},
		{"an epoch that was never opened", nil, "127.0.0.1:9~0000000000000007~9/a", Unknown, CauseEpochEnded, true, false, 0},
		{"another incarnation of the executor", nil, "127.0.0.1:9~0000000000000008~1/a", Unknown, CauseExecutorEnded, true, false, 0},
		{"an unreachable executor", nil, "127.0.0.1:8~0000000000000008~1/a", Unknown, CauseExecutorUnreachable, false, false, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeTargets{script: c.script}
			p := policy(true)
			op := newOperationHandler(f, p)
			for range 3 {
				r := request(p)
				r.Operation = c.id
				o := op.Handle(context.Background(), r)
				require.Equal(t, c.kind, o.Kind)
				require.Equal(t, c.cause, o.Cause)
				require.Equal(t, c.final, o.Final)
				require.Equal(t, c.newToken, o.ExecutorToken != "")
				response := o.Response()
				require.Equal(t, o.Cause, ParseResponse(response).Cause, "the response carries the outcome")
				require.Equal(t, o.Kind, ParseResponse(response).Kind)
			}
			require.Equal(t, c.sent, f.sent())
		})
	}
}

// TestConcurrentResendsRunOnce guards against a second execution of an operation whose
// caller sends it again while the first request is still running.
func TestConcurrentResendsRunOnce(t *testing.T) {
	f := &fakeTargets{script: []reply{{after: 30 * time.Millisecond, status: 200, effect: sender.Done}}}
	p := policy(true)
	op := newOperationHandler(f, p)
	var group sync.WaitGroup
	bodies := make([]string, 20)
	for n := range bodies {
		group.Go(func() {
			r := request(p)
			r.Operation = "127.0.0.1:9~0000000000000007~1/same"
			bodies[n] = string(op.Handle(context.Background(), r).Body)
		})
	}
	group.Wait()
	for _, b := range bodies {
		require.Equal(t, "0", b)
	}
	require.Equal(t, 1, f.sent())
}

// TestLossNamesRunThatGotRequest guards against a loss that counts against the wrong
// run: the target restarts before the loss of the connection is known.
func TestLossNamesRunThatGotRequest(t *testing.T) {
	p := policy(true)
	h := newHandler(&fakeTargets{}, p, 1)
	var start atomic.Pointer[string]
	before, after := "old", "new"
	start.Store(&before)
	h.TargetStart = func(*Request, netip.AddrPort) string { return *start.Load() }
	h.Send = func(context.Context, netip.AddrPort, sender.Request) (*sender.Response, sender.Effect, error) {
		start.Store(&after)
		return nil, sender.Lost, errNoResponse
	}
	var rumor quarantiner.Rumor
	h.SpreadRumor = func(r quarantiner.Rumor) { rumor = r }
	h.Handle(context.Background(), request(p))
	require.Equal(t, before, rumor.Run.Start)
}

// TestMalformedResponseIsUnknown reads malformed responses, which no instance of this
// version writes. Their outcome must be unknown.
func TestMalformedResponseIsUnknown(t *testing.T) {
	for _, response := range []Response{{}, {Status: 200}, {Status: 0, Header: http.Header{HeaderOutcome: {string(Done)}}}} {
		require.Equal(t, NewUnknown(CauseExecutorUnreachable, 0), ParseResponse(response))
	}
}
