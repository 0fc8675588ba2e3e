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

// pendingRequests is the number of requests that wait in the socket buffers of a paused
// instance.
const pendingRequests = 40

// pauseSettleTime is the time for which the threads of a process may run on after SIGSTOP.
// Responses to anything that they still send would report the leaving target to the
// instance when it resumes.
const pauseSettleTime = 300 * time.Millisecond

// arrivalsAfterPause makes a target leave while an instance is paused with requests in its
// socket buffers, and resumes the instance after drainLimit. If isolated, the instance
// reaches no peer after the pause. It returns the arrivals at the target after drainLimit.
func arrivalsAfterPause(t *testing.T, isolated bool) []recorder.Event {
	t.Helper()
	// Probes are off, because a probe after the pause would also report the leaving target
	// to the instance.
	f := starter.NewFleet(t, starter.Config{
		Tree: strings.Replace(tree, "probes: 16", "probes: 0", 1), Place: "himal", Service: "parts", Targets: 4, Instances: 3,
	})
	<-starter.StartLoad(t, mixedLoad("a", time.Second, f.Instances...))
	paused := f.Instances[0]
	paused.Pause()
	time.Sleep(pauseSettleTime)
	// Peers are blocked, so that no report of the leaving target waits in the socket
	// buffers of the paused instance.
	changePeerBlocks(t, f, http.MethodPut)
	var senders sync.WaitGroup
	for n := range pendingRequests {
		senders.Go(func() { requestUntilOK(t, f, paused, n) })
	}
	f.InjectFault(t, f.Targets[1].Address, "drain", "")
	leaving := time.Now()
	during := mixedLoad("b", drainLimit+time.Second, f.Instances[1:]...)
	during.AnyInstance = true
	<-starter.StartLoad(t, during)
	if !isolated {
		changePeerBlocks(t, f, http.MethodDelete)
	}
	paused.Continue()
	senders.Wait()
	return lateArrivals(f.RecordedEvents(t), f.Targets[1], leaving)
}

// changePeerBlocks blocks (PUT) or allows (DELETE) the exchange of messages between the
// first instance and all other instances. It does so only at the other instances, because
// the paused first instance handles no requests.
func changePeerBlocks(t *testing.T, f *starter.Fleet, method string) {
	t.Helper()
	for _, other := range f.Instances[1:] {
		path := "/v1/cuts/" + f.Instances[0].Entry.Peer.String()
		if _, status, err := starter.Call(method, other.Admin, path, ""); err != nil || status != http.StatusNoContent {
			t.Fatalf("%s %s failed: status %d, expected 204, error %v", method, path, status, err)
		}
	}
}

// requestUntilOK sends request n to an instance and repeats it until the status is 200.
func requestUntilOK(t *testing.T, f *starter.Fleet, i *starter.Instance, n int) {
	url := "http://" + i.Entry.Address.String() + "/s/" + f.Config.Service + "/lookup/x"
	for {
		request, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			t.Error(err)
			return
		}
		request.Header.Set("Request-Id", "paused-"+strconv.Itoa(n))
		client := http.Client{Timeout: 20 * time.Second}
		response, err := client.Do(request)
		if err != nil {
			t.Error(err)
			return
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestPausedInstanceSendsNothingToLeavingTarget guards against an instance that acts on an
// outdated view after a pause: the target began to leave during the pause, and the
// requests in the socket buffers are handled before the instance has asked its peers.
func TestPausedInstanceSendsNothingToLeavingTarget(t *testing.T) {
	if found := arrivalsAfterPause(t, false); len(found) > 0 {
		t.Errorf("%d requests arrived at the leaving target later than drainLimit after it began to leave, the first: %+v", len(found), found[0])
	}
}

// TestPauseCheckRejectsIsolatedInstance guards against a check that detects nothing. An
// instance that reaches no peer after its pause keeps its outdated view.
func TestPauseCheckRejectsIsolatedInstance(t *testing.T) {
	if found := arrivalsAfterPause(t, true); len(found) == 0 {
		t.Error("no work arrived late at the target although the instance has an outdated view")
	}
}
