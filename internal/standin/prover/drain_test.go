package prover

import (
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

// drainLimit is the time after which a leaving target gets nothing new.
const drainLimit = 3 * time.Second

// late returns the arrivals of work at a leaving target after the limit.
func late(events []recorder.Event, target *starter.Target, leaving time.Time) []recorder.Event {
	var found []recorder.Event
	for _, e := range events {
		if e.Type == recorder.Arrive && e.Target == target.Address.String() && e.Time.After(leaving.Add(drainLimit)) {
			found = append(found, e)
		}
	}
	return found
}

// drainOne lets a target leave while the platform is down, under load at two
// instances; after the limit the third one gets load as well. It returns the
// arrivals at the target that came too late.
func drainOne(t *testing.T, how string) []recorder.Event {
	t.Helper()
	f := scene(t, 3)
	first := load("a", 7*time.Second, f.Instances[:2]...)
	first.AnyInstance = true
	before := starter.Load(t, first)
	time.Sleep(time.Second)
	f.Fault(t, f.Platform, "down", "")
	f.Fault(t, f.Targets[1].Address, "drain", how)
	leaving := time.Now()
	time.Sleep(drainLimit)
	second := load("b", 2*time.Second, f.Instances...)
	second.AnyInstance = true
	after := starter.Load(t, second)
	for _, results := range []<-chan *loader.Result{before, after} {
		for _, r := range (<-results).Requests {
			if r.Outcome != loader.Done {
				t.Errorf("%s ended %s", r.ID, r.Outcome)
			}
		}
	}
	return late(f.Record(t), f.Targets[1], leaving)
}

func TestLeavingTargetGetsNothingNew(t *testing.T) {
	if found := drainOne(t, ""); len(found) > 0 {
		t.Errorf("%d arrivals after the limit, the first: %+v", len(found), found[0])
	}
}

func TestLeavingCheckRejectsSilentTarget(t *testing.T) {
	if found := drainOne(t, "silent"); len(found) == 0 {
		t.Error("nothing reached a target that told nobody")
	}
}
