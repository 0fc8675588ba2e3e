package auditor

import (
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
)

var noon = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// began returns the record of a run that began some milliseconds after noon.
func began(attempt string, after int) recorder.Event {
	at := noon.Add(time.Duration(after) * time.Millisecond)
	return recorder.Event{Type: recorder.Begin, Time: at, Target: "t", Service: "parts", Kind: "k", Request: attempt}
}

// tried returns an attempt that lasted a millisecond.
func tried(id string, after int, outcome loader.Outcome) loader.Attempt {
	at := noon.Add(time.Duration(after) * time.Millisecond)
	return loader.Attempt{ID: id, Begin: at, End: at.Add(time.Millisecond), Outcome: outcome, Status: 200}
}

// asked returns a request with its attempts; the last one decides.
func asked(once bool, attempts ...loader.Attempt) loader.Request {
	last := attempts[len(attempts)-1]
	id, _, _ := strings.Cut(last.ID, ".")
	return loader.Request{ID: id, Service: "parts", Kind: "k", AtMostOnce: once, Outcome: last.Outcome, Status: 200, Attempts: attempts}
}

func TestAudit(t *testing.T) {
	crossed, cut := tried("a.1", 0, loader.Done), tried("a.1", 0, loader.Done)
	crossed.Mismatched, cut.Truncated = true, true
	cases := []struct {
		name    string
		request loader.Request
		runs    []recorder.Event
		want    string
	}{
		{"answered", asked(false, tried("a.1", 0, loader.Done)), []recorder.Event{began("a.1", 0)}, "demo: ok requests=1 answered=1 lost=0 doubled=0 crossed=0"},
		{"second try of an idempotent request", asked(false, tried("a.1", 0, loader.Done)), []recorder.Event{began("a.1", 0), began("a.1", 1)}, "demo: ok requests=1 answered=1 lost=0 doubled=0 crossed=0"},
		{"refused, then answered", asked(true, tried("a.1", 0, loader.NotExecuted), tried("a.2", 5, loader.Done)), []recorder.Event{began("a.2", 5)}, "demo: ok requests=1 answered=1 lost=0 doubled=0 crossed=0"},
		{"refused", asked(true, tried("a.1", 0, loader.NotExecuted)), nil, "demo: failed requests=1 answered=0 lost=0 doubled=0 crossed=0"},
		{"unknown, and ran", asked(true, tried("a.1", 0, loader.Unknown)), []recorder.Event{began("a.1", 0)}, "demo: failed requests=1 answered=0 lost=0 doubled=0 crossed=0"},
		{"lost", asked(true, tried("a.1", 0, loader.Done)), nil, "demo: failed requests=1 answered=1 lost=1 doubled=0 crossed=0"},
		{"doubled", asked(true, tried("a.1", 0, loader.Done)), []recorder.Event{began("a.1", 0), began("a.2", 1)}, "demo: failed requests=1 answered=1 lost=0 doubled=1 crossed=0"},
		{"crossed", asked(false, crossed), []recorder.Event{began("a.1", 0)}, "demo: failed requests=1 answered=1 lost=0 doubled=0 crossed=1"},
		{"cut", asked(false, cut), []recorder.Event{began("a.1", 0)}, "demo: failed requests=1 answered=1 lost=0 doubled=0 crossed=0 cut=1 lied=0 stray=0"},
		{"refused, and ran", asked(false, tried("a.1", 0, loader.NotExecuted)), []recorder.Event{began("a.1", 0)}, "demo: failed requests=1 answered=0 lost=0 doubled=0 crossed=0 cut=0 lied=1 stray=0"},
		{"refused after an earlier attempt ran", asked(true, tried("a.1", 0, loader.Unknown), tried("a.2", 5, loader.NotExecuted)), []recorder.Event{began("a.1", 0)}, "demo: failed requests=1 answered=0 lost=0 doubled=0 crossed=0 cut=0 lied=1 stray=0"},
		{"stray", asked(false, tried("a.1", 0, loader.Done)), []recorder.Event{began("a.1", 0), began("b.1", 0)}, "demo: failed requests=1 answered=1 lost=0 doubled=0 crossed=0 cut=0 lied=0 stray=1"},
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
