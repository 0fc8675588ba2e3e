package watcher

import (
	"context"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/process/adopter"
	"oriolecourse.example/oriolecourse/internal/version/parser"
)

// Limits of one call.
const (
	// readTimeout bounds a call, or what remains of it after the wait.
	readTimeout = 3 * time.Second
	dialTimeout = 2 * time.Second
	// tick bounds the time until changed members are noticed.
	tick = time.Second
)

// Watcher reads documents from the platform and offers them. The fields are
// set before Run and not changed afterwards.
type Watcher struct {
	// Platform is the base URL, such as http://10.0.0.1:8500.
	Platform string
	// Self is the instance's address among Members.
	Self netip.AddrPort
	// Members gives the instances believed to be live.
	Members func() []netip.AddrPort
	// WithPlatform gives the members that have not told that they lost the platform; it
	// may be nil.
	WithPlatform func() []netip.AddrPort
	// Heard gives when any peer last gave a sign; it may be nil.
	Heard func() time.Time
	// Stamp gives the document in force.
	Stamp func(kind Kind) adopter.Stamp
	// Offer hands over a document that was read.
	Offer func(kind Kind, text []byte, now time.Time) adopter.Verdict
	// Logger and Scope may be nil.
	Logger log.Logger
	Scope  tally.Scope

	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	// lost counts the kinds whose last call failed.
	lost atomic.Int32
}

// Prepare readies the watcher for Run and Stop, which may then be called in
// any order and from different goroutines.
func (w *Watcher) Prepare() {
	if w.Logger == nil {
		w.Logger = log.NewNopLogger()
	}
	if w.Scope == nil {
		w.Scope = tally.NoopScope
	}
	w.client = &http.Client{
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
			ResponseHeaderTimeout: Wait + readTimeout,
			MaxIdleConnsPerHost:   len(paths),
		},
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.done = make(chan struct{})
}

// Run watches all kinds of documents until Stop.
func (w *Watcher) Run() error {
	defer close(w.done)
	defer w.client.CloseIdleConnections()
	var loops sync.WaitGroup
	for k := range paths {
		loops.Go(func() { newLoop(w, Kind(k)).run() })
	}
	loops.Wait()
	return nil
}

// Stop ends Run and cancels calls in flight.
func (w *Watcher) Stop() { w.cancel() }

// PlatformLost reports whether the platform cannot be reached, for telling peers.
func (w *Watcher) PlatformLost() bool { return w.lost.Load() > 0 }

// Done is closed when Run has ended.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// loop drives the schedule of one kind.
type loop struct {
	*Watcher
	kind     Kind
	schedule Schedule
	calls    tally.Counter
	results  [results]tally.Counter
}

func newLoop(w *Watcher, k Kind) *loop {
	scope := w.Scope.SubScope("platform").Tagged(map[string]string{"document": k.String()})
	l := &loop{
		Watcher:  w,
		kind:     k,
		schedule: Schedule{Self: w.Self, Kind: k, Random: rand.Float64},
		calls:    scope.Counter("calls"),
	}
	for i, name := range [results]string{"news", "same", "passed", "old", "refused", "failed"} {
		l.results[i] = scope.Tagged(map[string]string{"result": name}).Counter("answers")
	}
	return l
}

func (l *loop) run() {
	for l.ctx.Err() == nil {
		now := time.Now()
		d := l.schedule.Decide(now, l.view())
		if d.Call == None {
			l.sleep(min(tick, d.Again.Sub(now)))
			continue
		}
		l.calls.Inc(1)
		r, err := l.call(d.Call)
		if l.ctx.Err() != nil {
			return
		}
		l.results[r].Inc(1)
		l.note(r, err)
		l.schedule.Finish(time.Now(), l.view(), r)
	}
}

func (l *loop) view() View {
	v := View{Members: l.Members(), Holding: l.Stamp(l.kind).Version != 0}
	if l.WithPlatform != nil {
		v.Able = l.WithPlatform()
	}
	if l.Heard != nil {
		v.Heard = l.Heard()
	}
	return v
}

func (l *loop) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.ctx.Done():
	}
}

// note logs when the platform is lost and when it is back.
func (l *loop) note(r Result, err error) {
	lost := r == Failed
	if lost == l.schedule.Lost() {
		return
	}
	if lost {
		l.lost.Add(1)
		_ = level.Warn(l.Logger).Log("msg", "platform lost", "document", l.kind, "cause", err)
		return
	}
	l.lost.Add(-1)
	_ = level.Info(l.Logger).Log("msg", "platform back", "document", l.kind)
}

// call makes one call and offers what it brings. A watch asks for versions
// above the one in force even when a faulty one was refused, since operators
// may mend a tree without raising its version.
func (l *loop) call(c Call) (Result, error) {
	before, wait := l.Stamp(l.kind), time.Duration(0)
	after := before.Version
	switch c {
	case Watch:
		wait = Wait
	case Reread:
		after = max(after, 1) - 1
	}
	var text []byte
	var err error
	if text, err = l.get(after, wait); err != nil {
		return Failed, trace.Wrap(err)
	}
	if text == nil {
		return Same, nil
	}
	return l.judge(text, before), nil
}

// judge offers a document; before is what was in force when the call began.
func (l *loop) judge(text []byte, before adopter.Stamp) Result {
	v := l.Offer(l.kind, text, time.Now())
	known := v == adopter.Known || v == adopter.Stale
	switch {
	case v == adopter.Accepted:
		return News
	case known && l.Stamp(l.kind) != before:
		return Passed
	case v == adopter.Known:
		return Same
	case v == adopter.Stale:
		return Old
	}
	return Refused
}

// get returns the document, or nil when there is none newer.
func (l *loop) get(after uint64, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(l.ctx, wait+readTimeout)
	defer cancel()
	address := strings.TrimSuffix(l.Platform, "/") + l.kind.query(after, wait)
	var request *http.Request
	var err error
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, address, nil); err != nil {
		return nil, trace.Wrap(err, "the platform's address is not valid")
	}
	var answer *http.Response
	if answer, err = l.client.Do(request); err != nil {
		return nil, trace.ConnectionProblem(err, "the platform cannot be reached")
	}
	defer func() { _ = answer.Body.Close() }()
	switch answer.StatusCode {
	case http.StatusNotModified:
		return nil, nil
	case http.StatusOK:
		return body(answer.Body)
	}
	return nil, trace.BadParameter("the platform answered %s", answer.Status)
}

// body reads a whole document of bounded size.
func body(r io.Reader) ([]byte, error) {
	var text []byte
	var err error
	if text, err = io.ReadAll(io.LimitReader(r, parser.MaxSize+1)); err != nil {
		return nil, trace.ConnectionProblem(err, "the platform's answer broke off")
	}
	if len(text) == 0 || len(text) > parser.MaxSize {
		return nil, trace.LimitExceeded("the platform's answer is empty or larger than %d bytes", parser.MaxSize)
	}
	return text, nil
}
