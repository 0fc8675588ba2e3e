package prover

import (
	"fmt"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/auditor"
	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

// harm returns what callers suffered from the end of an instance: broken
// promises, requests without an answer, and attempts cut off or sent to an
// address that no longer answered.
func harm(v *auditor.Verdict, result *loader.Result, ended *starter.Instance) []string {
	found := v.Findings
	if v.Answered != v.Requests {
		found = append(found, fmt.Sprintf("%d of %d requests were answered", v.Answered, v.Requests))
	}
	for _, r := range result.Requests {
		for _, a := range r.Attempts {
			lost := a.Outcome == loader.Unsent || a.Status == 0
			if lost && a.Instance == ended.Entry.Address.String() {
				found = append(found, fmt.Sprintf("%s ended %s: %s", a.ID, a.Outcome, a.Error))
			}
		}
	}
	return found
}

// endOne sends a load and ends the instance that most callers use.
func endOne(t *testing.T, end func(*starter.Instance)) []string {
	t.Helper()
	f := scene(t, 3)
	results := starter.Load(t, load("r", 5*time.Second, f.Instances...))
	time.Sleep(1500 * time.Millisecond)
	victim := busiest(t, f)
	end(victim)
	result := <-results
	return harm(auditor.Audit([]*loader.Result{result}, f.Record(t)), result, victim)
}

// busiest returns the instance that has served most requests.
func busiest(t *testing.T, f *starter.Fleet) *starter.Instance {
	t.Helper()
	best, most := f.Instances[0], int64(-1)
	for _, i := range f.Instances {
		if served := i.Served(t); served > most {
			best, most = i, served
		}
	}
	return best
}

func TestShutdownCutsNothing(t *testing.T) {
	if found := endOne(t, func(i *starter.Instance) { i.Stop(t) }); len(found) > 0 {
		t.Errorf("%d findings, the first: %s", len(found), found[0])
	}
}

func TestShutdownCheckRejectsKill(t *testing.T) {
	if found := endOne(t, func(i *starter.Instance) { i.Kill() }); len(found) == 0 {
		t.Error("a killed instance harmed nobody")
	}
}
