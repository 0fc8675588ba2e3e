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

// instance is a fake instance that responds to attempts by a script. It names an
// unreachable address first in its address lists.
type instance struct {
	*httptest.Server
	dead netip.AddrPort

	mu sync.Mutex
	// operations holds the operation ids of the received attempts.
	operations []string
	// script responds to attempt n, counted from 1.
	script func(w http.ResponseWriter, id string, n int)
}

// unreachable is an address at which nobody listens. The port of a server that was closed may be
// taken by another process.
var unreachable = netip.MustParseAddrPort("127.0.0.1:1")

// newInstance starts a fake instance whose address list holds an unreachable
// address, then its own.
func newInstance(t *testing.T, script func(http.ResponseWriter, string, int)) *instance {
	t.Helper()
	i := &instance{script: script, dead: unreachable}
	i.Server = httptest.NewServer(i)
	t.Cleanup(i.Close)
	return i
}

// address returns the address of a server.
func address(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// ServeHTTP responds to address lookups and attempts.
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

// respond sends a response with an outcome and further headers.
func respond(w http.ResponseWriter, status int, outcome, body string, header ...string) {
	w.Header().Set("Oriole-Outcome", outcome)
	for n := 0; n+1 < len(header); n += 2 {
		w.Header().Set(header[n], header[n+1])
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

// respondComplete sends the complete response of a request.
func respondComplete(w http.ResponseWriter, id string) {
	respond(w, 200, "done", string(generator.Body(id, 20)))
}

// breakConnection closes the connection without a response.
func breakConnection(http.ResponseWriter, string, int) { panic(http.ErrAbortHandler) }

// attemptTimeout bounds one attempt of the caller.
const attemptTimeout = time.Second

// rejectWithExecutor rejects an operation and names an executor.
func rejectWithExecutor(w http.ResponseWriter, _ string, _ int) {
	respond(w, 409, "unrun", "", "Oriole-Executor", "e2")
}

// TestRunRequest guards against a caller that repeats, ends or classifies attempts
// otherwise than the responses allow. An operation must keep its id as long as it
// may have run.
func TestRunRequest(t *testing.T) {
	cases := []struct {
		name string
		once bool
		// script holds the responses to the attempts; the last one repeats.
		script []func(http.ResponseWriter, string, int)
		// want holds the outcomes of the attempts, the outcome of the request and
		// the operation ids that the instance received.
		want string
	}{
		{"tries the next address after a failed connection", false, []func(http.ResponseWriter, string, int){
			func(w http.ResponseWriter, id string, _ int) { respondComplete(w, id) },
		}, "unsent done: done []"},
		{"repeats a rejected request after the named pause", false, []func(http.ResponseWriter, string, int){
			func(w http.ResponseWriter, _ string, _ int) { respond(w, 429, "unrun", "", "Oriole-Retry", "1ms") },
			func(w http.ResponseWriter, id string, _ int) { respondComplete(w, id) },
		}, "unsent unrun done: done [ ]"},
		{"repeats an operation that may have run under the same id", true, []func(http.ResponseWriter, string, int){
			rejectWithExecutor, breakConnection, func(w http.ResponseWriter, _ string, _ int) { respondComplete(w, "q.3") },
		}, "unsent unrun unknown unsent done: done [ e2/q e2/q]"},
		{"does not use the executor of an instance that could not be reached", true, []func(http.ResponseWriter, string, int){
			rejectWithExecutor, func(w http.ResponseWriter, id string, _ int) { respondComplete(w, id) },
		}, "unsent unrun done: done [ e2/q]"},
		{"uses the new executor after a rejection", true, []func(http.ResponseWriter, string, int){
			rejectWithExecutor,
			func(w http.ResponseWriter, _ string, _ int) { respond(w, 409, "unrun", "", "Oriole-Executor", "e3") },
			func(w http.ResponseWriter, id string, _ int) { respondComplete(w, id) },
		}, "unsent unrun unrun done: done [ e2/q e3/q]"},
		{"stays unknown when the repetition is rejected", true, []func(http.ResponseWriter, string, int){
			rejectWithExecutor, breakConnection, func(w http.ResponseWriter, _ string, _ int) { respond(w, 429, "unrun", "", "Oriole-Final", "true") },
		}, "unsent unrun unknown unsent unrun: unknown [ e2/q e2/q]"},
		{"ends when the outcome is final", false, []func(http.ResponseWriter, string, int){
			func(w http.ResponseWriter, _ string, _ int) { respond(w, 422, "unknown", "", "Oriole-Final", "true") },
		}, "unsent unknown: unknown []"},
		{"tries the next address after the attempt timeout", false, []func(http.ResponseWriter, string, int){
			func(http.ResponseWriter, string, int) { time.Sleep(2 * attemptTimeout) },
			func(w http.ResponseWriter, id string, _ int) { respondComplete(w, id) },
		}, "unsent unknown unsent done: done [ ]"},
		{"marks a response to another request", false, []func(http.ResponseWriter, string, int){
			func(w http.ResponseWriter, _ string, _ int) { respondComplete(w, "other.1") },
		}, "unsent done crossed: done []"},
		{"marks a truncated body", false, []func(http.ResponseWriter, string, int){
			func(w http.ResponseWriter, id string, _ int) {
				respond(w, 200, "done", string(generator.Body(id, 20)[:15]))
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
			r := caller.runRequest(t.Context(), KindLoad{Service: "s", Kind: "k", AtMostOnce: c.once}, "q", time.Now())
			if got := summary(r, i.operations); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// summary returns the outcomes of a request in the form of the test table.
func summary(r Request, operations []string) string {
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

// TestRunRepeatsForSeed guards against a seed that does not determine the number of
// requests.
func TestRunRepeatsForSeed(t *testing.T) {
	i := newInstance(t, func(w http.ResponseWriter, id string, _ int) { respondComplete(w, id) })
	s := Settings{
		Instances: []netip.AddrPort{address(i.Server)}, KindLoads: []KindLoad{{Service: "s", Kind: "k", Rate: 500}},
		Duration: 100 * time.Millisecond, Seed: 1, Callers: 2, MaxAttempts: 2, RequestTimeout: 20 * time.Second,
	}
	first, err := Run(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Run(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	if len(first.Requests) == 0 || len(first.Requests) != len(second.Requests) {
		t.Errorf("got %d and %d requests from one seed, want equal numbers above 0", len(first.Requests), len(second.Requests))
	}
	for _, r := range first.Requests {
		if r.Outcome != Done {
			t.Errorf("%s ended as %s, want done", r.ID, r.Outcome)
		}
	}
}

func TestParseKindLoad(t *testing.T) {
	m, err := ParseKindLoad("parts/confirm rate=20 size=400 once")
	if want := (KindLoad{Service: "parts", Kind: "confirm", Rate: 20, ResponseSize: 400, AtMostOnce: true}); err != nil || m != want {
		t.Errorf("got %+v, %v", m, err)
	}
	for _, text := range []string{"", "parts", "a/b rate=x", "a/b rate=-1", "a/b twice"} {
		if _, err := ParseKindLoad(text); err == nil {
			t.Errorf("mix %q was accepted", text)
		}
	}
}

// TestCallerAvoidsFailedInstance guards against a caller that tries a failed address
// first again.
func TestCallerAvoidsFailedInstance(t *testing.T) {
	i := newInstance(t, func(w http.ResponseWriter, id string, _ int) { respondComplete(w, id) })
	c := newCaller(Settings{Instances: []netip.AddrPort{address(i.Server)}, MaxAttempts: 4, RequestTimeout: 20 * time.Second}, 1, &atomic.Int64{})
	first := c.runRequest(context.Background(), KindLoad{Service: "s", Kind: "k"}, "q", time.Now())
	require.Len(t, first.Attempts, 2, "the first request tries the unreachable address first")
	second := c.runRequest(context.Background(), KindLoad{Service: "s", Kind: "k"}, "r", time.Now())
	require.Len(t, second.Attempts, 1, "the next request starts with the reachable instance")
}

// TestCallerWaitsRetryAfterDespiteNewExecutor guards against a caller that repeats
// an operation at once because the rejection names a new executor, although it also
// names a pause.
func TestCallerWaitsRetryAfterDespiteNewExecutor(t *testing.T) {
	const retryAfter = 200 * time.Millisecond
	i := newInstance(t, func(w http.ResponseWriter, id string, n int) {
		if n == 1 {
			respond(w, 429, "unrun", "", "Oriole-Executor", "e2", "Oriole-Retry", retryAfter.String())
			return
		}
		respondComplete(w, id)
	})
	c := newCaller(Settings{Instances: []netip.AddrPort{address(i.Server)}, MaxAttempts: 4, RequestTimeout: 20 * time.Second}, 1, &atomic.Int64{})
	r := c.runRequest(context.Background(), KindLoad{Service: "s", Kind: "k", AtMostOnce: true}, "q", time.Now())
	require.Equal(t, Done, r.Outcome)
	require.GreaterOrEqual(t, r.Latency, retryAfter)
}
