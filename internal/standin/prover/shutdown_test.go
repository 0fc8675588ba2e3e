package prover

import (
	"fmt"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/auditor"
	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

// shutdownFailures returns the failures that callers saw: the findings of the audit,
// requests without a complete response, and attempts at the ended instance that were
// aborted or could not be sent.
func shutdownFailures(v *auditor.Verdict, result *loader.Result, ended *starter.Instance) []string {
	found := v.Findings
	if v.Answered != v.Requests {
		found = append(found, fmt.Sprintf("%d of %d requests have a complete response", v.Answered, v.Requests))
	}
	for _, r := range result.Requests {
		for _, a := range r.Attempts {
			noResponse := a.Outcome == loader.Unsent || a.Status == 0
			if noResponse && a.Instance == ended.Entry.Address.String() {
				found = append(found, fmt.Sprintf("%s has the outcome %s: %s", a.ID, a.Outcome, a.Error))
			}
		}
	}
	return found
}

// endBusiest sends a load, ends the instance that has served most requests and returns the
// failures that callers saw.
func endBusiest(t *testing.T, end func(*starter.Instance)) []string {
	t.Helper()
	f := newFleet(t, 3)
	results := starter.StartLoad(t, mixedLoad("r", 5*time.Second, f.Instances...))
	time.Sleep(1500 * time.Millisecond)
	ended := busiest(t, f)
	end(ended)
	result := <-results
	return shutdownFailures(auditor.Audit([]*loader.Result{result}, f.RecordedEvents(t)), result, ended)
}

// busiest returns the instance that has served the most requests.
func busiest(t *testing.T, f *starter.Fleet) *starter.Instance {
	t.Helper()
	best, most := f.Instances[0], int64(-1)
	for _, i := range f.Instances {
		if served := i.ServedRequests(t); served > most {
			best, most = i, served
		}
	}
	return best
}

// TestShutdownInterruptsNoRequest guards against a graceful shutdown that aborts
// requests or closes its port while callers still use the address.
func TestShutdownInterruptsNoRequest(t *testing.T) {
	if found := endBusiest(t, func(i *starter.Instance) { i.Stop(t) }); len(found) > 0 {
		t.Errorf("%d failures, the first: %s", len(found), found[0])
	}
}

// TestShutdownCheckRejectsKill guards against a check that detects nothing. A killed
// instance aborts its requests.
func TestShutdownCheckRejectsKill(t *testing.T) {
	if found := endBusiest(t, func(i *starter.Instance) { i.Kill() }); len(found) == 0 {
		t.Error("the check found no failure after an instance was killed")
	}
}
