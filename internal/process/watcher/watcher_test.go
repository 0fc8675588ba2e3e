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

func tree(version int) string { return fmt.Sprintf("version: %d\n", version) }

// platform is a fake whose settings answer is replaced at any moment.
type platform struct {
	*httptest.Server
	answer atomic.Pointer[http.HandlerFunc]
	calls  atomic.Int64
}

func newPlatform(t *testing.T, answer http.HandlerFunc) *platform {
	p := &platform{}
	p.answer.Store(&answer)
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/settings" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		p.calls.Add(1)
		(*p.answer.Load())(w, r)
	}))
	t.Cleanup(p.Close)
	return p
}

func text(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }
}

// serving answers as the platform does, without holding a watch for longer
// than the request lives.
func serving(version int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		if version > after {
			text(tree(version))(w, r)
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

// rig is a watcher of a fleet of one, with an adopter of settings.
type rig struct {
	*Watcher
	scope tally.TestScope
}

func newRig(t *testing.T, url string) *rig {
	settings, scope, self := adopter.NewSettings(), tally.NewTestScope("", nil), member(0)
	g := &rig{scope: scope, Watcher: &Watcher{
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
	g.Prepare()
	go func() { _ = g.Run() }()
	t.Cleanup(func() {
		g.Stop()
		<-g.Done()
	})
	return g
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 6000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not seen: %s", what)
}

// version waits until a version is in force.
func (g *rig) version(t *testing.T, want uint64) {
	t.Helper()
	eventually(t, fmt.Sprintf("version %d in force", want), func() bool { return g.Stamp(Settings).Version == want })
}

// answers counts the answers about settings that had a result.
func (g *rig) answers(result string) int64 {
	c := g.scope.Snapshot().Counters()["platform.answers+document=settings,result="+result]
	if c == nil {
		return 0
	}
	return c.Value()
}

// more waits until the platform was called n times more.
func (p *platform) more(t *testing.T, n int64) {
	t.Helper()
	goal := p.calls.Load() + n
	eventually(t, fmt.Sprintf("%d calls", goal), func() bool { return p.calls.Load() >= goal })
}

// Each fault of the platform leaves the version in force, and the watcher
// takes the next version when the fault is over.
func TestFaults(t *testing.T) {
	gone := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	broken := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte(tree(9)))
	}
	cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	frozen := func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(200 * time.Millisecond):
			panic(http.ErrAbortHandler)
		}
	}
	for _, v := range []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"down", gone},
		{"cut", cut},
		{"slow, then cut", frozen},
		{"broken off", broken},
		{"huge", text("version: 9 #" + strings.Repeat("x", parser.MaxSize))},
		{"empty", text("")},
		{"garbage", text("\x00\xff{{{")},
		{"faulty", text(tree(9) + "fleet: 3\n")},
		{"stale", text(tree(2))},
		{"answers 304 at once", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t, serving(3))
			g := newRig(t, p.URL)
			g.version(t, 3)
			p.answer.Store(&v.answer)
			p.more(t, 2)
			g.version(t, 3)
			next := serving(4)
			p.answer.Store(&next)
			g.version(t, 4)
		})
	}
}

// A platform that flaps between an older and a newer tree never takes the
// instance back, and the older answers are seen and refused as stale.
func TestFlapping(t *testing.T) {
	p := newPlatform(t, serving(5))
	g := newRig(t, p.URL)
	g.version(t, 5)
	for i, version := range []int{2, 6, 3, 7} {
		next := text(tree(version))
		p.answer.Store(&next)
		if i%2 == 0 {
			seen := g.answers("old")
			eventually(t, "an old answer", func() bool { return g.answers("old") > seen })
			continue
		}
		g.version(t, uint64(version))
	}
}

// A platform that is down from the start is read when it comes up.
func TestStartWhileDown(t *testing.T) {
	gone := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }
	p := newPlatform(t, gone)
	g := newRig(t, p.URL)
	p.more(t, 2)
	next := serving(1)
	p.answer.Store(&next)
	g.version(t, 1)
}

// A document that peers pass on while a watch is open is no fault of the platform.
func TestPassedOn(t *testing.T) {
	release, watching := make(chan struct{}), make(chan string, 100)
	p := newPlatform(t, func(w http.ResponseWriter, r *http.Request) {
		after := r.URL.Query().Get("after")
		watching <- after
		switch after {
		case "0":
			text(tree(3))(w, r)
		case "3":
			<-release
			text(tree(4))(w, r)
		default:
			<-r.Context().Done()
		}
	})
	g := newRig(t, p.URL)
	for after := range watching {
		if after == "3" {
			break
		}
	}
	g.Offer(Settings, []byte(tree(4)), time.Now())
	close(release)
	if after := <-watching; after != "4" {
		t.Errorf("watch after %s", after)
	}
	if n := g.answers("passed"); n != 1 {
		t.Errorf("%d answers counted as passed on", n)
	}
}

// Stop ends a waiting watch at once, and before Run as well.
func TestStop(t *testing.T) {
	entered := make(chan struct{}, 10)
	p := newPlatform(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "0" {
			text(tree(1))(w, r)
			return
		}
		entered <- struct{}{}
		<-r.Context().Done()
	})
	g := newRig(t, p.URL)
	<-entered
	g.Stop()
	<-g.Done()
	w := &Watcher{Members: func() []netip.AddrPort { return nil }, Stamp: func(Kind) adopter.Stamp { return adopter.Stamp{} }}
	w.Prepare()
	w.Stop()
	if err := w.Run(); err != nil {
		t.Error(err)
	}
}
