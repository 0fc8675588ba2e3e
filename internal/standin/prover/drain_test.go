package prover

import (
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

// drainLimit is the time after which a leaving target must get no new work.
const drainLimit = 3 * time.Second

// lateArrivals returns the arrivals of work at the target later than drainLimit after it
// began to leave.
func lateArrivals(events []recorder.Event, target *starter.Target, leaving time.Time) []recorder.Event {
	var found []recorder.Event
	for _, e := range events {
		if e.Type == recorder.Arrive && e.Target == target.Address.String() && e.Time.After(leaving.Add(drainLimit)) {
			found = append(found, e)
		}
	}
	return found
}

// arrivalsAfterDrain makes a target leave while the platform is down and two instances are
// under load. After drainLimit, the third instance gets load as well. It returns the
// arrivals at the target after drainLimit. The parameters are those of the target's fault
// "drain".
func arrivalsAfterDrain(t *testing.T, parameters string) []recorder.Event {
	t.Helper()
	f := newFleet(t, 3)
	first := mixedLoad("a", 7*time.Second, f.Instances[:2]...)
	first.AnyInstance = true
	before := starter.StartLoad(t, first)
	time.Sleep(time.Second)
	f.InjectFault(t, f.Platform, "down", "")
	f.InjectFault(t, f.Targets[1].Address, "drain", parameters)
	leaving := time.Now()
	time.Sleep(drainLimit)
	second := mixedLoad("b", 2*time.Second, f.Instances...)
	second.AnyInstance = true
	after := starter.StartLoad(t, second)
	for _, results := range []<-chan *loader.Result{before, after} {
		for _, r := range (<-results).Requests {
			if r.Outcome != loader.Done {
				t.Errorf("%s has the outcome %s, expected done", r.ID, r.Outcome)
			}
		}
	}
	return lateArrivals(f.RecordedEvents(t), f.Targets[1], leaving)
}

// TestLeavingTargetGetsNoNewWork guards against new work for a leaving target: the platform
// is down, so the instances learn about it only from the target and from each other.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	if found := arrivalsAfterDrain(t, ""); len(found) > 0 {
		t.Errorf("%d requests arrived at the leaving target later than drainLimit after it began to leave, the first: %+v", len(found), found[0])
	}
}

// TestLeavingCheckRejectsSilentTarget guards against a check that detects nothing. The
// target does not announce that it is leaving.
func TestLeavingCheckRejectsSilentTarget(t *testing.T) {
	if found := arrivalsAfterDrain(t, "silent"); len(found) == 0 {
		t.Error("no work arrived late at a target that does not announce that it is leaving")
	}
}
