package auditor

import (
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
)

var noon = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// beginEvent returns the recorded begin of a run, a number of milliseconds after noon.
func beginEvent(attempt string, after int) recorder.Event {
	at := noon.Add(time.Duration(after) * time.Millisecond)
	return recorder.Event{Type: recorder.Begin, Time: at, Target: "t", Service: "parts", Kind: "k", Request: attempt}
}

// attempt returns an attempt that began a number of milliseconds after noon and took
// one millisecond.
func attempt(id string, after int, outcome loader.Outcome) loader.Attempt {
	at := noon.Add(time.Duration(after) * time.Millisecond)
	return loader.Attempt{ID: id, Begin: at, End: at.Add(time.Millisecond), Outcome: outcome, Status: 200}
}

// request returns a request with its attempts. The request has the outcome of the last
// attempt.
func request(atMostOnce bool, attempts ...loader.Attempt) loader.Request {
	last := attempts[len(attempts)-1]
	id, _, _ := strings.Cut(last.ID, ".")
	return loader.Request{ID: id, Service: "parts", Kind: "k", AtMostOnce: atMostOnce, Outcome: last.Outcome, Status: 200, Attempts: attempts}
}

// TestAudit guards against an audit that misses a violation, and so hides a fault of
// the balancer in all tests that use the audit, or that reports a violation that did
// not occur. Each case has one violation or none.
func TestAudit(t *testing.T) {
	mismatched, truncated := attempt("a.1", 0, loader.Done), attempt("a.1", 0, loader.Done)
	mismatched.Mismatched, truncated.Truncated = true, true
	cases := []struct {
		name    string
		request loader.Request
		runs    []recorder.Event
		want    string
	}{
		{"answered", request(false, attempt("a.1", 0, loader.Done)), []recorder.Event{beginEvent("a.1", 0)}, "demo: ok requests=1 answered=1 lost=0 doubled=0 crossed=0"},
		{"retry of an idempotent request", request(false, attempt("a.1", 0, loader.Done)), []recorder.Event{beginEvent("a.1", 0), beginEvent("a.1", 1)}, "demo: ok requests=1 answered=1 lost=0 doubled=0 crossed=0"},
		{"rejected, then answered", request(true, attempt("a.1", 0, loader.NotExecuted), attempt("a.2", 5, loader.Done)), []recorder.Event{beginEvent("a.2", 5)}, "demo: ok requests=1 answered=1 lost=0 doubled=0 crossed=0"},
		{"rejected", request(true, attempt("a.1", 0, loader.NotExecuted)), nil, "demo: failed requests=1 answered=0 lost=0 doubled=0 crossed=0"},
		{"unknown outcome, and ran", request(true, attempt("a.1", 0, loader.Unknown)), []recorder.Event{beginEvent("a.1", 0)}, "demo: failed requests=1 answered=0 lost=0 doubled=0 crossed=0"},
		{"answered without a run", request(true, attempt("a.1", 0, loader.Done)), nil, "demo: failed requests=1 answered=1 lost=1 doubled=0 crossed=0"},
		{"at-most-once kind ran twice", request(true, attempt("a.1", 0, loader.Done)), []recorder.Event{beginEvent("a.1", 0), beginEvent("a.2", 1)}, "demo: failed requests=1 answered=1 lost=0 doubled=1 crossed=0"},
		{"response to another request", request(false, mismatched), []recorder.Event{beginEvent("a.1", 0)}, "demo: failed requests=1 answered=1 lost=0 doubled=0 crossed=1"},
		{"truncated response", request(false, truncated), []recorder.Event{beginEvent("a.1", 0)}, "demo: failed requests=1 answered=1 lost=0 doubled=0 crossed=0 cut=1 lied=0 stray=0"},
		{"rejected, and ran", request(false, attempt("a.1", 0, loader.NotExecuted)), []recorder.Event{beginEvent("a.1", 0)}, "demo: failed requests=1 answered=0 lost=0 doubled=0 crossed=0 cut=0 lied=1 stray=0"},
		{"rejected after an earlier attempt ran", request(true, attempt("a.1", 0, loader.Unknown), attempt("a.2", 5, loader.NotExecuted)), []recorder.Event{beginEvent("a.1", 0)}, "demo: failed requests=1 answered=0 lost=0 doubled=0 crossed=0 cut=0 lied=1 stray=0"},
		{"run that no caller sent", request(false, attempt("a.1", 0, loader.Done)), []recorder.Event{beginEvent("a.1", 0), beginEvent("b.1", 0)}, "demo: failed requests=1 answered=1 lost=0 doubled=0 crossed=0 cut=0 lied=0 stray=1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := Audit([]*loader.Result{{Requests: []loader.Request{c.request}}}, c.runs)
			if got := v.Summary(); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}
