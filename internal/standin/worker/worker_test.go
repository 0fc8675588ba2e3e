package worker

import (
	"context"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"oriolecourse.example/oriolecourse/internal/standin/generator"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
)

// startTarget starts a target with one slot and a queue for one request.
func startTarget(t *testing.T, mean time.Duration) (*Worker, *httptest.Server) {
	t.Helper()
	w := New(Settings{Service: "s", Slots: 1, QueueCapacity: 1, MeanServiceTime: mean, TimeScale: 1}, nil, func(int) {}, time.Now())
	s := httptest.NewServer(w.Handler())
	t.Cleanup(s.Close)
	return w, s
}

// get sends a request and returns status, Target-State and body of the response.
// Status 0 means that there is no complete response.
func get(ctx context.Context, s *httptest.Server, path string, header ...string) (int, string, string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+path, nil)
	if err != nil {
		return 0, "", err.Error()
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := s.Client().Do(request)
	if err != nil {
		return 0, "", err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return response.StatusCode, response.Header.Get("Target-State"), string(text)
}

// countRuns returns the number of executions of requests that the target has recorded.
func countRuns(w *Worker) int {
	count := 0
	for _, e := range w.record.Events() {
		if e.Type == recorder.Begin {
			count++
		}
	}
	return count
}

// TestFaults guards against a fault that yields another status, reported state or
// number of executions than documented.
func TestFaults(t *testing.T) {
	cases := []struct {
		fault, parameters string
		status            int
		state             string
		runs              int
	}{
		{"mute", "", 200, "ready", 1},
		{"slow", "3,1h", 200, "ready", 1},
		{"coldstart", "3,1h", 200, "warming", 1},
		{"drain", "", 200, "draining", 1},
		{"drain", "refuse", 503, "draining", 0},
		{"shed", "", 503, "shed", 0},
		{"failfast", "", 500, "ready", 1},
		{"halfanswer", "", 0, "", 1},
		{"lateanswer", "1ms", 200, "ready", 1},
		{"freeze", "1ms", 200, "ready", 1},
	}
	for _, c := range cases {
		t.Run(c.fault+c.parameters, func(t *testing.T) {
			w, s := startTarget(t, time.Millisecond)
			if response, err := http.DefaultClient.Do(must(http.NewRequest(http.MethodPut, s.URL+"/fault/"+c.fault, strings.NewReader(c.parameters)))); err != nil || response.StatusCode != http.StatusNoContent {
				t.Fatal(response, err)
			}
			status, state, body := get(t.Context(), s, "/find/x", "Request-Id", "a.1", "Answer-Size", "3000")
			if status != c.status || state != c.state || countRuns(w) != c.runs {
				t.Errorf("got %d %q, %d runs; want %d %q, %d", status, state, countRuns(w), c.status, c.state, c.runs)
			}
			if id, err := generator.Check([]byte(body)); status == 200 && (err != nil || id != "a.1") {
				t.Errorf("the body belongs to request %q (error %v), want a.1", id, err)
			}
		})
	}
}

// must returns the request and panics on an error.
func must(r *http.Request, err error) *http.Request {
	if err != nil {
		panic(err)
	}
	return r
}

// TestQueuedWorkCanceledOrPastDeadlineDoesNotRun guards against running queued work
// whose deadline passed while it waited, and against work that keeps its slot after
// its caller has gone away.
func TestQueuedWorkCanceledOrPastDeadlineDoesNotRun(t *testing.T) {
	w, s := startTarget(t, time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		get(ctx, s, "/find/x", "Request-Id", "a.1")
	}()
	for countRuns(w) == 0 {
		time.Sleep(time.Millisecond)
	}
	if status, state, _ := get(t.Context(), s, "/find/x", "Oriole-Deadline", "5ms"); status != 503 || state != "shed" {
		t.Errorf("request past its deadline: got %d %q, want 503 \"shed\"", status, state)
	}
	cancel()
	<-ended
	for w.running.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	if events := w.record.Events(); countRuns(w) != 1 || events[len(events)-1].Cause != "canceled" {
		t.Errorf("got events %v, want one execution that ends as canceled", events)
	}
}

func TestDeadlineEndsRunningWork(t *testing.T) {
	w, s := startTarget(t, time.Hour)
	if status, _, _ := get(t.Context(), s, "/find/x", "Oriole-Deadline", "5ms"); status != 504 || countRuns(w) != 1 {
		t.Errorf("got status %d and %d runs, want 504 and 1", status, countRuns(w))
	}
}

// TestNoiseSlowsWorkWithinBounds guards against noise that shortens work, lengthens
// it beyond the slowdown, or differs between two generators with one seed. The
// rounding covers up to 1 µs.
func TestNoiseSlowsWorkWithinBounds(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng = rand.New(rand.NewSource(1))
	properties := gopter.NewProperties(parameters)
	noise := Noise{Slowdown: 6, MinLength: 30 * time.Millisecond, MaxLength: 70 * time.Millisecond, MeanGap: 100 * time.Millisecond}
	at := time.Unix(0, 0)
	properties.Property("elapsed time is between the work and the work times the slowdown", prop.ForAll(
		func(seed int64, work, after uint32) bool {
			d := time.Duration(work) / 10
			begin := at.Add(time.Duration(after))
			elapsed := newNeighbour(noise, 1, seed, at).elapsed(d, begin)
			same := newNeighbour(noise, 1, seed, at).elapsed(d, begin)
			rounding := time.Microsecond
			return elapsed == same && elapsed >= d-rounding && elapsed <= 6*d+rounding
		}, gen.Int64(), gen.UInt32(), gen.UInt32()))
	properties.TestingRun(t)
}
