package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/standin/generator"
)

// instance is a fake instance that answers each attempt as a script says.
type instance struct {
	*httptest.Server
	dead netip.AddrPort

	mu sync.Mutex
	// operations holds the operation id of each attempt.
	operations []string
	// script answers attempt n, from 1 on.
	script func(w http.ResponseWriter, id string, n int)
}

// newInstance starts a fake that names a dead instance first, then itself.
func newInstance(t *testing.T, script func(http.ResponseWriter, string, int)) *instance {
	t.Helper()
	closed := httptest.NewServer(nil)
	i := &instance{script: script, dead: address(closed)}
	closed.Close()
	i.Server = httptest.NewServer(i)
	t.Cleanup(i.Close)
	return i
}

// address returns the address of a server.
func address(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// ServeHTTP answers questions for addresses and attempts.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/address" {
		_ = json.NewEncoder(w).Encode(map[string]any{
			"addresses": []netip.AddrPort{i.dead, address(i.Server)}, "keep": "1h", "executor": "e1",
		})
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.operations = append(i.operations, r.Header.Get("Oriole-Operation"))
	i.script(w, r.Header.Get("Request-Id"), len(i.operations))
}

// reply sends an answer with an outcome.
func reply(w http.ResponseWriter, status int, outcome, body string, header ...string) {
	w.Header().Set("Oriole-Outcome", outcome)
	for n := 0; n+1 < len(header); n += 2 {
		w.Header().Set(header[n], header[n+1])
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

// whole sends the whole answer to a request.
func whole(w http.ResponseWriter, id string) { reply(w, 200, "done", string(generator.Body(id, 20))) }

// crash breaks the connection.
func crash(http.ResponseWriter, string, int) { panic(http.ErrAbortHandler) }

// attemptTimeout bounds an attempt of the tests.
const attemptTimeout = time.Second

// named refuses an operation and names an executor.
func named(w http.ResponseWriter, _ string, _ int) {
	reply(w, 409, "unrun", "", "Oriole-Executor", "e2")
}

func TestServe(t *testing.T) {
	cases := []struct {
		name string
		once bool
		// script holds the answers to the attempts; the last one repeats.
		script []func(http.ResponseWriter, string, int)
		// want holds the outcomes of the attempts and the request, then the
		// operations sent.
		want string
	}{
		{"falls over to the next address", false, []func(http.ResponseWriter, string, int){
			func(w http.ResponseWriter, id string, _ int) { whole(w, id) },
		}, "unsent done: done []"},
		{"comes back when told", false, []func(http.ResponseWriter, string, int){
			func(w http.ResponseWriter, _ string, _ int) { reply(w, 429, "unrun", "", "Oriole-Retry", "1ms") },
			func(w http.ResponseWriter, id string, _ int) { whole(w, id) },
		}, "unsent unrun done: done [ ]"},
		{"sends an operation again under its id", true, []func(http.ResponseWriter, string, int){
			named, crash, func(w http.ResponseWriter, _ string, _ int) { whole(w, "q.3") },
		}, "unsent unrun unknown unsent done: done [ e2/q e2/q]"},
		{"does not bind an operation to an executor that was not reached", true, []func(http.ResponseWriter, string, int){
			named, func(w http.ResponseWriter, id string, _ int) { whole(w, id) },
		}, "unsent unrun done: done [ e2/q]"},
		{"takes a fresh executor after a refusal", true, []func(http.ResponseWriter, string, int){
			named,
			func(w http.ResponseWriter, _ string, _ int) { reply(w, 409, "unrun", "", "Oriole-Executor", "e3") },
			func(w http.ResponseWriter, id string, _ int) { whole(w, id) },
		}, "unsent unrun unrun done: done [ e2/q e3/q]"},
		{"stays unknown when a resend is refused", true, []func(http.ResponseWriter, string, int){
			named, crash, func(w http.ResponseWriter, _ string, _ int) { reply(w, 429, "unrun", "", "Oriole-Final", "true") },
		}, "unsent unrun unknown unsent unrun: unknown [ e2/q e2/q]"},
		{"gives up when the outcome is final", false, []func(http.ResponseWriter, string, int){
			func(w http.ResponseWriter, _ string, _ int) { reply(w, 422, "unknown", "", "Oriole-Final", "true") },
		}, "unsent unknown: unknown []"},
		{"goes on to the next address when no answer comes in time", false, []func(http.ResponseWriter, string, int){
			func(http.ResponseWriter, string, int) { time.Sleep(2 * attemptTimeout) },
			func(w http.ResponseWriter, id string, _ int) { whole(w, id) },
		}, "unsent unknown unsent done: done [ ]"},
		{"notes a crossed answer", false, []func(http.ResponseWriter, string, int){
			func(w http.ResponseWriter, _ string, _ int) { whole(w, "other.1") },
		}, "unsent done crossed: done []"},
		{"notes a cut answer that looks whole", false, []func(http.ResponseWriter, string, int){
			func(w http.ResponseWriter, id string, _ int) {
				reply(w, 200, "done", string(generator.Body(id, 20)[:15]))
			},
		}, "unsent done cut: done []"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := newInstance(t, func(w http.ResponseWriter, id string, n int) {
				c.script[min(n, len(c.script))-1](w, id, n)
			})
			s := Settings{Instances: []netip.AddrPort{address(i.Server)}, MaxAttempts: 4, RequestTimeout: 20 * time.Second, AttemptTimeout: attemptTimeout}
			caller := newCaller(s, 1, &atomic.Int64{})
			r := caller.serve(t.Context(), KindLoad{Service: "s", Kind: "k", AtMostOnce: c.once}, "q", time.Now())
			if got := story(r, i.operations); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// story tells what happened to a request.
func story(r Request, operations []string) string {
	var words []string
	for _, a := range r.Attempts {
		words = append(words, string(a.Outcome))
		if a.Mismatched {
			words = append(words, "crossed")
		}
		if a.Truncated {
			words = append(words, "cut")
		}
	}
	return fmt.Sprintf("%s: %s %v", strings.Join(words, " "), r.Outcome, operations)
}

func TestRunIsSeeded(t *testing.T) {
	i := newInstance(t, func(w http.ResponseWriter, id string, _ int) { whole(w, id) })
	s := Settings{
		Instances: []netip.AddrPort{address(i.Server)}, KindLoads: []KindLoad{{Service: "s", Kind: "k", Rate: 500}},
		Duration: 100 * time.Millisecond, Seed: 1, Callers: 2, MaxAttempts: 2, RequestTimeout: 20 * time.Second,
	}
	one, err := Run(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	same, err := Run(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	if len(one.Requests) == 0 || len(one.Requests) != len(same.Requests) {
		t.Errorf("%d and %d requests from one seed", len(one.Requests), len(same.Requests))
	}
	for _, r := range one.Requests {
		if r.Outcome != Done {
			t.Errorf("%s ended %s", r.ID, r.Outcome)
		}
	}
}

func TestParseMix(t *testing.T) {
	m, err := ParseKindLoad("parts/confirm rate=20 size=400 once")
	if want := (KindLoad{Service: "parts", Kind: "confirm", Rate: 20, ResponseSize: 400, AtMostOnce: true}); err != nil || m != want {
		t.Errorf("got %+v, %v", m, err)
	}
	for _, text := range []string{"", "parts", "a/b rate=x", "a/b rate=-1", "a/b twice"} {
		if _, err := ParseKindLoad(text); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

func TestCallerKeepsOffFailedInstance(t *testing.T) {
	i := newInstance(t, func(w http.ResponseWriter, id string, _ int) { whole(w, id) })
	c := newCaller(Settings{Instances: []netip.AddrPort{address(i.Server)}, MaxAttempts: 4, RequestTimeout: 20 * time.Second}, 1, &atomic.Int64{})
	first := c.serve(context.Background(), KindLoad{Service: "s", Kind: "k"}, "q", time.Now())
	require.Len(t, first.Attempts, 2, "the first request meets the dead instance")
	second := c.serve(context.Background(), KindLoad{Service: "s", Kind: "k"}, "r", time.Now())
	require.Len(t, second.Attempts, 1, "the next one begins with the instance that answers")
}

func TestCallerComesBackWhenToldDespiteFreshExecutor(t *testing.T) {
	const told = 200 * time.Millisecond
	i := newInstance(t, func(w http.ResponseWriter, id string, n int) {
		if n == 1 {
			reply(w, 429, "unrun", "", "Oriole-Executor", "e2", "Oriole-Retry", told.String())
			return
		}
		whole(w, id)
	})
	c := newCaller(Settings{Instances: []netip.AddrPort{address(i.Server)}, MaxAttempts: 4, RequestTimeout: 20 * time.Second}, 1, &atomic.Int64{})
	r := c.serve(context.Background(), KindLoad{Service: "s", Kind: "k", AtMostOnce: true}, "q", time.Now())
	require.Equal(t, Done, r.Outcome)
	require.GreaterOrEqual(t, r.Latency, told)
}
