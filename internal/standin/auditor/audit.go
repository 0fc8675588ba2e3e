package auditor

import (
	"fmt"
	"strings"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
)

// maxFindings bounds the findings that a verdict names.
const maxFindings = 20

// Verdict is the outcome of an audit.
type Verdict struct {
	// Requests counts requests, Answered those with a whole, successful answer.
	Requests, Answered int
	// Lost counts done requests that no target ran.
	Lost int
	// Doubled counts requests of once kinds that ran more than once.
	Doubled int
	// Crossed counts answers to another request, Cut answers that looked whole
	// and were not.
	Crossed, Cut int
	// Lied counts refusals that said not run of requests that had run.
	Lied int
	// Stray counts runs of requests that no caller sent.
	Stray int
	// Findings describe the first violations.
	Findings []string
	Rows     []Row
}

// Violations is the number of broken promises.
func (v *Verdict) Violations() int {
	return v.Lost + v.Doubled + v.Crossed + v.Cut + v.Lied + v.Stray
}

// OK tells whether every request was answered and no promise was broken.
func (v *Verdict) OK() bool { return v.Violations() == 0 && v.Answered == v.Requests }

// Summary is the last line of the demo.
func (v *Verdict) Summary() string {
	word := "ok"
	if !v.OK() {
		word = "failed"
	}
	line := fmt.Sprintf("demo: %s requests=%d answered=%d lost=%d doubled=%d crossed=%d",
		word, v.Requests, v.Answered, v.Lost, v.Doubled, v.Crossed)
	if v.Cut+v.Lied+v.Stray > 0 {
		line += fmt.Sprintf(" cut=%d lied=%d stray=%d", v.Cut, v.Lied, v.Stray)
	}
	return line
}

// find counts a violation and describes it.
func (v *Verdict) find(counter *int, format string, args ...any) {
	*counter++
	if len(v.Findings) < maxFindings {
		v.Findings = append(v.Findings, fmt.Sprintf(format, args...))
	}
}

// run is one begun run.
type run struct {
	attempt string
	target  string
	begin   time.Time
}

// Audit judges the results of loads by the record of the targets that served
// them. Every load whose requests the record holds must be given.
func Audit(results []*loader.Result, events []recorder.Event) *Verdict {
	v := &Verdict{}
	runs := index(events)
	known := map[string]bool{}
	for _, result := range results {
		for _, r := range result.Requests {
			known[r.ID] = true
			v.judge(r, runs[r.ID])
		}
	}
	for id, of := range runs {
		if !known[id] {
			v.find(&v.Stray, "%s ran at %s and no caller sent it", id, of[0].target)
		}
	}
	v.Rows = tabulate(results, events)
	return v
}

// index groups the begun runs by the id of the request.
func index(events []recorder.Event) map[string][]run {
	runs := map[string][]run{}
	for _, e := range events {
		if e.Type != recorder.Begin {
			continue
		}
		id, _, _ := strings.Cut(e.Request, ".")
		runs[id] = append(runs[id], run{attempt: e.Request, target: e.Target, begin: e.Time})
	}
	return runs
}

// judge checks one request.
func (v *Verdict) judge(r loader.Request, runs []run) {
	v.Requests++
	if r.Succeeded() {
		v.Answered++
	}
	if r.Outcome == loader.Done && len(runs) == 0 {
		v.find(&v.Lost, "%s was answered and never ran", r.ID)
	}
	if r.AtMostOnce && len(runs) > 1 {
		v.find(&v.Doubled, "%s ran %d times, at %s and %s", r.ID, len(runs), runs[0].target, runs[1].target)
	}
	for _, a := range r.Attempts {
		v.judgeAttempt(r, a, runs)
	}
}

// judgeAttempt checks one attempt.
func (v *Verdict) judgeAttempt(r loader.Request, a loader.Attempt, runs []run) {
	if a.Truncated {
		v.find(&v.Cut, "%s: %s", a.ID, a.Error)
	}
	if a.Mismatched {
		v.find(&v.Crossed, "%s got the answer to another request", a.ID)
	}
	if a.Outcome != loader.NotExecuted && a.Outcome != loader.Unsent {
		return
	}
	for _, one := range runs {
		if contradicts(r, a, one) {
			v.find(&v.Lied, "%s was said not to have run, and ran at %s", a.ID, one.target)
			return
		}
	}
}

// contradicts tells whether a run disproves the refusal of an attempt. A once
// kind is one operation over all its attempts, so a run of an earlier attempt
// disproves a later refusal too.
func contradicts(r loader.Request, a loader.Attempt, one run) bool {
	if a.ID == one.attempt {
		return true
	}
	return r.AtMostOnce && a.Outcome == loader.NotExecuted && one.begin.Before(a.Begin)
}
