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

	"oriolecourse.example/oriolecourse/internal/connection/checker"
	"oriolecourse.example/oriolecourse/internal/process/adopter"
	"oriolecourse.example/oriolecourse/internal/version/parser"
)

// Limits of one call, and the interval between checks of the members.
const (
	// callTimeout is the time that a call may take in addition to the requested wait.
	callTimeout = 3 * time.Second
	// dialTimeout bounds the TCP connect, which is part of the call.
	dialTimeout = 2 * time.Second
	// memberCheckInterval bounds the time until a change of the members is noticed.
	memberCheckInterval = time.Second
)

// Watcher reads documents from the platform and offers them to adopters. Its exported
// fields are set before Prepare and not changed afterwards.
type Watcher struct {
	// Platform is the base URL, such as http://10.0.0.1:8500.
	Platform string
	// Self is this instance's address among Members.
	Self netip.AddrPort
	// Members returns the instances considered live.
	Members func() []netip.AddrPort
	// MembersReachingPlatform returns the members that have not reported the platform as
	// unreachable; it may be nil.
	MembersReachingPlatform func() []netip.AddrPort
	// LastContact returns when a message from any peer last arrived; it may be nil.
	LastContact func() time.Time
	// Stamp returns the stamp of the document in force.
	Stamp func(kind Kind) adopter.Stamp
	// Offer passes a document that was read to its adopter.
	Offer func(kind Kind, text []byte, now time.Time) adopter.Verdict
	// Logger and Scope may be nil; nothing is logged or counted then.
	Logger log.Logger
	Scope  tally.Scope

	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	// unreachableKinds is the number of kinds whose last call failed.
	unreachableKinds atomic.Int32
}

// Prepare initializes the watcher. Run and Stop may then be called in any order and
// from different goroutines.
func (w *Watcher) Prepare() {
	if w.Logger == nil {
		w.Logger = log.NewNopLogger()
	}
	if w.Scope == nil {
		w.Scope = tally.NoopScope
	}
	w.client = &http.Client{
		Transport: &http.Transport{
			DialContext:           checker.Dial(&net.Dialer{Timeout: dialTimeout}),
			ResponseHeaderTimeout: LongPollWait + callTimeout,
			MaxIdleConnsPerHost:   len(kindNames),
		},
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.done = make(chan struct{})
}

// Run reads all kinds of documents until Stop.
func (w *Watcher) Run() error {
	defer close(w.done)
	defer w.client.CloseIdleConnections()
	var loops sync.WaitGroup
	for k := range kindNames {
		loops.Go(func() { newLoop(w, Kind(k)).run() })
	}
	loops.Wait()
	return nil
}

// Stop ends Run and cancels the calls in flight.
func (w *Watcher) Stop() { w.cancel() }

// PlatformUnreachable reports whether the last call for any kind of document failed. This
// is reported to peers, which then elect another reader in addition.
func (w *Watcher) PlatformUnreachable() bool { return w.unreachableKinds.Load() > 0 }

// Done is closed when Run has returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// loop makes the calls for one kind of document.
type loop struct {
	*Watcher
	kind     Kind
	schedule Schedule
	calls    tally.Counter
	results  [resultCount]tally.Counter
}

func newLoop(w *Watcher, k Kind) *loop {
	scope := w.Scope.SubScope("platform").Tagged(map[string]string{"document": k.String()})
	l := &loop{
		Watcher:  w,
		kind:     k,
		schedule: Schedule{Self: w.Self, Kind: k, Random: rand.Float64},
		calls:    scope.Counter("calls"),
	}
	// The names in the metrics, in the order of the results. They differ from the names of
	// the constants.
	for i, name := range [resultCount]string{"news", "same", "passed", "old", "refused", "failed"} {
		l.results[i] = scope.Tagged(map[string]string{"result": name}).Counter("answers")
	}
	return l
}

func (l *loop) run() {
	for l.ctx.Err() == nil {
		now := time.Now()
		d := l.schedule.Decide(now, l.view())
		if d.Call == None {
			l.sleep(min(memberCheckInterval, d.DecideAt.Sub(now)))
			continue
		}
		l.calls.Inc(1)
		r, err := l.call(d.Call)
		if l.ctx.Err() != nil {
			return
		}
		l.results[r].Inc(1)
		l.logPlatform(r, err)
		l.schedule.Finish(time.Now(), l.view(), r)
	}
}

func (l *loop) view() View {
	v := View{Members: l.Members(), HasDocument: l.Stamp(l.kind).Version != 0}
	if l.MembersReachingPlatform != nil {
		v.MembersReachingPlatform = l.MembersReachingPlatform()
	}
	if l.LastContact != nil {
		v.LastContact = l.LastContact()
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

// logPlatform logs when the platform becomes unreachable and when it is reachable
// again.
func (l *loop) logPlatform(r Result, err error) {
	unreachable := r == Failed
	if unreachable == l.schedule.PlatformUnreachable() {
		return
	}
	if unreachable {
		l.unreachableKinds.Add(1)
		_ = level.Warn(l.Logger).Log("msg", "platform lost", "document", l.kind, "cause", err)
		return
	}
	l.unreachableKinds.Add(-1)
	_ = level.Info(l.Logger).Log("msg", "platform back", "document", l.kind)
}

// call makes one call and offers the document that it returns. A watch asks for
// versions above the one in force even after a newer one was rejected, since operators
// may correct a settings tree without raising its version.
func (l *loop) call(c Call) (Result, error) {
	before, wait := l.Stamp(l.kind), time.Duration(0)
	after := before.Version
	switch c {
	case Watch:
		wait = LongPollWait
	case Reread:
		after = max(after, 1) - 1
	}
	var text []byte
	var err error
	if text, err = l.get(after, wait); err != nil {
		return Failed, trace.Wrap(err)
	}
	if text == nil {
		return Unchanged, nil
	}
	return l.offerDocument(text, before), nil
}

// offerDocument offers a document; before is the stamp that was in force when the call
// began.
func (l *loop) offerDocument(text []byte, before adopter.Stamp) Result {
	v := l.Offer(l.kind, text, time.Now())
	known := v == adopter.Known || v == adopter.Stale
	switch {
	case v == adopter.Accepted:
		return Applied
	case known && l.Stamp(l.kind) != before:
		return Superseded
	case v == adopter.Known:
		return Unchanged
	case v == adopter.Stale:
		return Stale
	}
	return Rejected
}

// get returns the document, or nil if there is none with a version above after.
func (l *loop) get(after uint64, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(l.ctx, wait+callTimeout)
	defer cancel()
	address := strings.TrimSuffix(l.Platform, "/") + l.kind.requestURI(after, wait)
	var request *http.Request
	var err error
	if request, err = http.NewRequestWithContext(checker.Trace(ctx), http.MethodGet, address, nil); err != nil {
		return nil, trace.Wrap(err, "the platform's base URL is not valid, want one such as http://10.0.0.1:8500")
	}
	var response *http.Response
	if response, err = l.client.Do(request); err != nil {
		return nil, trace.ConnectionProblem(err, "the request to the platform failed")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return nil, nil
	case http.StatusOK:
		return readBody(response.Body)
	}
	return nil, trace.BadParameter("the platform responded with status %s, want 200 or 304", response.Status)
}

// readBody reads a complete document of at most parser.MaxDocumentBytes bytes.
func readBody(r io.Reader) ([]byte, error) {
	var text []byte
	var err error
	if text, err = io.ReadAll(io.LimitReader(r, parser.MaxDocumentBytes+1)); err != nil {
		return nil, trace.ConnectionProblem(err, "reading the platform's response failed")
	}
	if len(text) == 0 || len(text) > parser.MaxDocumentBytes {
		return nil, trace.LimitExceeded("the platform's response is not a document of 1 to %d bytes", parser.MaxDocumentBytes)
	}
	return text, nil
}
