package watcher

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/process/adopter"
	"oriolecourse.example/oriolecourse/internal/version/parser"
)

func settingsTree(version int) string { return fmt.Sprintf("version: %d\n", version) }

// fakePlatform is a platform whose handler of calls for the settings can be replaced at
// any time. The list never changes.
type fakePlatform struct {
	*httptest.Server
	handler atomic.Pointer[http.HandlerFunc]
	calls   atomic.Int64
}

func newFakePlatform(t *testing.T, handler http.HandlerFunc) *fakePlatform {
	p := &fakePlatform{}
	p.handler.Store(&handler)
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/settings" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		p.calls.Add(1)
		(*p.handler.Load())(w, r)
	}))
	t.Cleanup(p.Close)
	return p
}

// textHandler responds with body.
func textHandler(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }
}

// servingHandler responds as a platform with that version of the settings does, but
// holds a watch for no longer than 50 ms.
func servingHandler(version int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		if version > after {
			textHandler(settingsTree(version))(w, r)
			return
		}
		if r.URL.Query().Get("wait") != "0s" {
			select {
			case <-r.Context().Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
		w.WriteHeader(http.StatusNotModified)
	}
}

// testWatcher is a running watcher in a fleet of one instance, with an adopter of
// settings.
type testWatcher struct {
	*Watcher
	scope tally.TestScope
}

func newTestWatcher(t *testing.T, url string) *testWatcher {
	settings, scope, self := adopter.NewSettings(), tally.NewTestScope("", nil), member(0)
	w := &testWatcher{scope: scope, Watcher: &Watcher{
		Platform: url,
		Scope:    scope,
		Self:     self,
		Members:  func() []netip.AddrPort { return []netip.AddrPort{self} },
		Stamp: func(k Kind) adopter.Stamp {
			if k == List {
				return adopter.Stamp{Version: 1}
			}
			return settings.Stamp()
		},
		Offer: func(_ Kind, text []byte, now time.Time) adopter.Verdict { return settings.Offer(text, 0, 0, now) },
	}}
	w.Prepare()
	go func() { _ = w.Run() }()
	t.Cleanup(func() {
		w.Stop()
		<-w.Done()
	})
	return w
}

// eventually waits up to 30 s until a condition holds.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", description)
}

// waitForVersion waits until a version of the settings is in force.
func (w *testWatcher) waitForVersion(t *testing.T, want uint64) {
	t.Helper()
	eventually(t, fmt.Sprintf("version %d in force", want), func() bool { return w.Stamp(Settings).Version == want })
}

// responseCount returns the number of calls for settings that ended with a result.
func (w *testWatcher) responseCount(result string) int64 {
	c := w.scope.Snapshot().Counters()["platform.answers+document=settings,result="+result]
	if c == nil {
		return 0
	}
	return c.Value()
}

// waitForCalls waits for n further calls to the platform.
func (p *fakePlatform) waitForCalls(t *testing.T, n int64) {
	t.Helper()
	want := p.calls.Load() + n
	eventually(t, fmt.Sprintf("%d calls", want), func() bool { return p.calls.Load() >= want })
}

// A faulty platform must not replace the version in force by a broken or older one, and
// must not stop the watcher: it reads the next version once the fault is over.
func TestRecoversFromPlatformFaults(t *testing.T) {
	unavailable := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte(settingsTree(9)))
	}
	aborted := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	slowAborted := func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(200 * time.Millisecond):
			panic(http.ErrAbortHandler)
		}
	}
	for _, v := range []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"down", unavailable},
		{"connection aborted", aborted},
		{"connection aborted after a delay", slowAborted},
		{"truncated", truncated},
		{"huge", textHandler("version: 9 #" + strings.Repeat("x", parser.MaxDocumentBytes))},
		{"empty", textHandler("")},
		{"garbage", textHandler("\x00\xff{{{")},
		{"faulty", textHandler(settingsTree(9) + "fleet: 3\n")},
		{"stale", textHandler(settingsTree(2))},
		{"responds 304 at once", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			p := newFakePlatform(t, servingHandler(3))
			w := newTestWatcher(t, p.URL)
			w.waitForVersion(t, 3)
			p.handler.Store(&v.handler)
			p.waitForCalls(t, 2)
			w.waitForVersion(t, 3)
			next := servingHandler(4)
			p.handler.Store(&next)
			w.waitForVersion(t, 4)
		})
	}
}

// A platform that alternates between older and newer settings must not take the instance
// back to an older version. The older responses are counted as such.
func TestFlappingPlatform(t *testing.T) {
	p := newFakePlatform(t, servingHandler(5))
	w := newTestWatcher(t, p.URL)
	w.waitForVersion(t, 5)
	for i, version := range []int{2, 6, 3, 7} {
		next := textHandler(settingsTree(version))
		p.handler.Store(&next)
		if i%2 == 0 {
			before := w.responseCount("old")
			eventually(t, "an older response", func() bool { return w.responseCount("old") > before })
			continue
		}
		w.waitForVersion(t, uint64(version))
	}
}

// An instance that starts while the platform is down must read the settings when the
// platform comes up.
func TestStartWhilePlatformIsDown(t *testing.T) {
	unavailable := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }
	p := newFakePlatform(t, unavailable)
	w := newTestWatcher(t, p.URL)
	p.waitForCalls(t, 2)
	next := servingHandler(1)
	p.handler.Store(&next)
	w.waitForVersion(t, 1)
}

// When peers pass a document on while a watch for it is open, the platform returns a
// document that is already in force. This must not count as a fault of the platform.
func TestDocumentPassedOnDuringWatch(t *testing.T) {
	release, calls := make(chan struct{}), make(chan string, 100)
	p := newFakePlatform(t, func(w http.ResponseWriter, r *http.Request) {
		after := r.URL.Query().Get("after")
		calls <- after
		switch after {
		case "0":
			textHandler(settingsTree(3))(w, r)
		case "3":
			<-release
			textHandler(settingsTree(4))(w, r)
		default:
			<-r.Context().Done()
		}
	})
	w := newTestWatcher(t, p.URL)
	for after := range calls {
		if after == "3" {
			break
		}
	}
	w.Offer(Settings, []byte(settingsTree(4)), time.Now())
	close(release)
	if after := <-calls; after != "4" {
		t.Errorf("the next call asks for versions after %s, want 4", after)
	}
	if n := w.responseCount("passed"); n != 1 {
		t.Errorf("%d responses counted as passed on, want 1", n)
	}
}

// Stop must end at once a watch that the platform holds, and must work before Run as
// well.
func TestStop(t *testing.T) {
	held := make(chan struct{}, 10)
	p := newFakePlatform(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "0" {
			textHandler(settingsTree(1))(w, r)
			return
		}
		held <- struct{}{}
		<-r.Context().Done()
	})
	w := newTestWatcher(t, p.URL)
	<-held
	w.Stop()
	<-w.Done()
	unstarted := &Watcher{Members: func() []netip.AddrPort { return nil }, Stamp: func(Kind) adopter.Stamp { return adopter.Stamp{} }}
	unstarted.Prepare()
	unstarted.Stop()
	if err := unstarted.Run(); err != nil {
		t.Error(err)
	}
}
