package prover

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/recorder"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

// waiting is the number of requests that wait in the sockets of a paused instance.
const waiting = 40

// stopTime is how long the threads of a process may go on after the signal. What
// they still send would tell the instance of the leaving target when it wakes.
const stopTime = 300 * time.Millisecond

// pauseOne lets a target leave while an instance is paused with requests in its
// sockets, and continues the instance after the limit. An isolated one reaches
// no peer. It returns the arrivals at the target that came too late.
func pauseOne(t *testing.T, isolated bool) []recorder.Event {
	t.Helper()
	// A probe at the wake would tell the instance as well.
	f := starter.NewFleet(t, starter.Config{
		Tree: strings.Replace(tree, "probes: 16", "probes: 0", 1), Place: "himal", Service: "parts", Targets: 4, Instances: 3,
	})
	<-starter.Load(t, load("a", time.Second, f.Instances...))
	paused := f.Instances[0]
	paused.Pause()
	time.Sleep(stopTime)
	// The word of the leaving target must not wait in its sockets as well.
	reach(t, f, http.MethodPut)
	var sent sync.WaitGroup
	for n := range waiting {
		sent.Go(func() { ask(t, f, paused, n) })
	}
	f.Fault(t, f.Targets[1].Address, "drain", "")
	leaving := time.Now()
	during := load("b", drainLimit+time.Second, f.Instances[1:]...)
	during.AnyInstance = true
	<-starter.Load(t, during)
	if !isolated {
		reach(t, f, http.MethodDelete)
	}
	paused.Continue()
	sent.Wait()
	return late(f.Record(t), f.Targets[1], leaving)
}

// reach cuts the others from the first instance (PUT) or heals that (DELETE), at
// their end only, since the first one cannot be told.
func reach(t *testing.T, f *starter.Fleet, method string) {
	t.Helper()
	for _, other := range f.Instances[1:] {
		path := "/v1/cuts/" + f.Instances[0].Entry.Peer.String()
		if _, status, err := starter.Call(method, other.Admin, path, ""); err != nil || status != http.StatusNoContent {
			t.Fatalf("%s %s: %d, %v", method, path, status, err)
		}
	}
}

// ask sends one request to an instance until it is not refused.
func ask(t *testing.T, f *starter.Fleet, i *starter.Instance, n int) {
	page := "http://" + i.Entry.Address.String() + "/s/" + f.Config.Service + "/lookup/x"
	for {
		q, err := http.NewRequest(http.MethodGet, page, nil)
		if err != nil {
			t.Error(err)
			return
		}
		q.Header.Set("Request-Id", "paused-"+strconv.Itoa(n))
		client := http.Client{Timeout: 20 * time.Second}
		p, err := client.Do(q)
		if err != nil {
			t.Error(err)
			return
		}
		p.Body.Close()
		if p.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestPausedInstanceSendsNothingToLeavingTarget(t *testing.T) {
	if found := pauseOne(t, false); len(found) > 0 {
		t.Errorf("%d arrivals after the limit, the first: %+v", len(found), found[0])
	}
}

// An instance that reaches no peer after its pause cannot know better.
func TestPauseCheckRejectsIsolatedInstance(t *testing.T) {
	if found := pauseOne(t, true); len(found) == 0 {
		t.Error("nothing reached the target from an instance with old beliefs")
	}
}
