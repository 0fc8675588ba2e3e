package auditor

import (
	"fmt"
	"strings"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
)

// maxFindings is the number of violations that a verdict describes; the others are
// only counted.
const maxFindings = 20

// Verdict is the result of an audit.
type Verdict struct {
	// Requests counts all requests, Answered the requests with a complete, successful
	// response.
	Requests, Answered int
	// Lost counts requests with outcome done that no target ran.
	Lost int
	// Duplicated counts requests of at-most-once kinds that ran more than once.
	Duplicated int
	// Mismatched counts responses that belong to another request, Truncated counts
	// responses that seemed complete and were not.
	Mismatched, Truncated int
	// Contradicted counts attempts that ended as not executed or unsent although a
	// target ran the request.
	Contradicted int
	// UnknownRuns counts runs of requests that no caller sent.
	UnknownRuns int
	// Findings describes the first violations, at most maxFindings.
	Findings []string
	// Rows summarizes the requests by service and kind.
	Rows []Row
}

// Violations returns the number of violations of all types.
func (v *Verdict) Violations() int {
	return v.Lost + v.Duplicated + v.Mismatched + v.Truncated + v.Contradicted + v.UnknownRuns
}

// OK reports whether every request was answered and no violation was found.
func (v *Verdict) OK() bool { return v.Violations() == 0 && v.Answered == v.Requests }

// Summary returns the counts in one line, which the demo prints last.
func (v *Verdict) Summary() string {
	status := "ok"
	if !v.OK() {
		status = "failed"
	}
	line := fmt.Sprintf("demo: %s requests=%d answered=%d lost=%d doubled=%d crossed=%d",
		status, v.Requests, v.Answered, v.Lost, v.Duplicated, v.Mismatched)
	if v.Truncated+v.Contradicted+v.UnknownRuns > 0 {
		line += fmt.Sprintf(" cut=%d lied=%d stray=%d", v.Truncated, v.Contradicted, v.UnknownRuns)
	}
	return line
}

// addFinding increments the counter of a violation and describes the violation.
func (v *Verdict) addFinding(counter *int, format string, args ...any) {
	*counter++
	if len(v.Findings) < maxFindings {
		v.Findings = append(v.Findings, fmt.Sprintf(format, args...))
	}
}

// run is the start of one execution of a request by a target.
type run struct {
	// attempt is the Request-Id of the attempt that ran.
	attempt string
	target  string
	begin   time.Time
}

// Audit compares the results of loads with the record of the targets that served
// them. The results must include every load whose requests are in the record, or
// Audit reports the requests of the missing loads as runs that no caller sent.
func Audit(results []*loader.Result, events []recorder.Event) *Verdict {
	v := &Verdict{}
	runs := runsByRequest(events)
	known := map[string]bool{}
	for _, result := range results {
		for _, r := range result.Requests {
			known[r.ID] = true
			v.checkRequest(r, runs[r.ID])
		}
	}
	for id, unmatched := range runs {
		if !known[id] {
			v.addFinding(&v.UnknownRuns, "%s ran at %s, but no caller sent it", id, unmatched[0].target)
		}
	}
	v.Rows = tabulate(results, events)
	return v
}

// runsByRequest groups the runs by the id of their request. The id of an attempt is
// the id of its request, a dot and a number.
func runsByRequest(events []recorder.Event) map[string][]run {
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

// checkRequest checks one request, with all its attempts, against its runs.
func (v *Verdict) checkRequest(r loader.Request, runs []run) {
	v.Requests++
	if r.Succeeded() {
		v.Answered++
	}
	if r.Outcome == loader.Done && len(runs) == 0 {
		v.addFinding(&v.Lost, "%s was answered, but no target ran it", r.ID)
	}
	if r.AtMostOnce && len(runs) > 1 {
		v.addFinding(&v.Duplicated, "%s must run at most once and ran %d times, first at %s and %s", r.ID, len(runs), runs[0].target, runs[1].target)
	}
	for _, a := range r.Attempts {
		v.checkAttempt(r, a, runs)
	}
}

// checkAttempt checks one attempt of a request against all runs of the request.
func (v *Verdict) checkAttempt(r loader.Request, a loader.Attempt, runs []run) {
	if a.Truncated {
		v.addFinding(&v.Truncated, "%s: %s", a.ID, a.Error)
	}
	if a.Mismatched {
		v.addFinding(&v.Mismatched, "%s received the response to another request", a.ID)
	}
	if a.Outcome != loader.NotExecuted && a.Outcome != loader.Unsent {
		return
	}
	for _, candidate := range runs {
		if contradicts(r, a, candidate) {
			v.addFinding(&v.Contradicted, "%s ended as not executed or unsent, but the request ran at %s", a.ID, candidate.target)
			return
		}
	}
}

// contradicts reports whether a run contradicts the attempt, which ended as not
// executed or unsent. The run of the attempt itself always does. All attempts of an
// at-most-once kind are the same operation. An attempt that ended as not
// executed is therefore also contradicted by any run that began before the attempt.
func contradicts(r loader.Request, a loader.Attempt, candidate run) bool {
	if a.ID == candidate.attempt {
		return true
	}
	return r.AtMostOnce && a.Outcome == loader.NotExecuted && candidate.begin.Before(a.Begin)
}
