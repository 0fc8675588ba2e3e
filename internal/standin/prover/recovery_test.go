package prover

import (
	"strings"
	"sync"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/recorder"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

// recoveryTree has a long ejection time, so that only a probe readmits a target soon.
const recoveryTree = `
version: 1
settings: {fleet: 4, keep: 1s, epoch: 5s, forget: 20s}
places:
  himal:
    settings: {slots: 2, connections: 250, window: 1s, timeout: 100ms, failures: 3, eject: 8s, WEIGHTS}
    services:
      parts:
        settings: {probes: 16, queue: 256}
        kinds:
          lookup: {priority: urgent, deadline: 1s, wait: 500ms}
          confirm: {once: true, deadline: 1s, wait: 500ms}
`

// measureRecovery makes a target fail fast for 5 s. It returns the time from the end of the
// fault until the target completed a request, or an hour if it completed none, and the
// number of probes.
func measureRecovery(t *testing.T, weights string) (recovery time.Duration, probes int) {
	t.Helper()
	f := starter.NewFleet(t, starter.Config{
		Tree: strings.Replace(recoveryTree, "WEIGHTS", weights, 1), Place: "himal", Service: "parts", Targets: 6, Instances: 1,
	})
	traffic := mixedLoad("r", 13*time.Second, f.Instances...)
	traffic.KindLoads = traffic.KindLoads[:1]
	traffic.KindLoads[0].Rate = 200
	results := starter.StartLoad(t, traffic)
	time.Sleep(2 * time.Second)
	address := f.Targets[0].Address
	f.InjectFault(t, address, "failfast", "")
	time.Sleep(5 * time.Second)
	f.ClearFault(t, address, "failfast")
	clearedAt := time.Now()
	<-results
	recovery = time.Hour
	for _, e := range f.RecordedEvents(t) {
		if e.Type == recorder.Probe {
			probes++
		}
		if e.Type == recorder.End && e.Cause == "done" && e.Target == address.String() && e.Time.After(clearedAt) {
			recovery = min(recovery, e.Time.Sub(clearedAt))
		}
	}
	return recovery, probes
}

// TestWeightsShapeProbing guards against weights without effect: a higher weight of tail
// latency against cost must increase the number of probes, and a weight of 0 for tail
// latency must turn them off.
func TestWeightsShapeProbing(t *testing.T) {
	t.Parallel()
	weights := []string{"tail: 8, cost: 3", "tail: 4, cost: 8", "tail: 0, cost: 8"}
	counts := make([]int, len(weights))
	var running sync.WaitGroup
	for i, w := range weights {
		running.Go(func() {
			recovery, probes := measureRecovery(t, w)
			t.Logf("%s: recovery after %s, %d probes", w, recovery.Round(time.Millisecond), probes)
			counts[i] = probes
		})
	}
	running.Wait()
	if counts[0] <= counts[1] || counts[1] == 0 || counts[2] != 0 {
		t.Errorf("numbers of probes by weights: %v, expected fewer but some for the second and none for the third", counts)
	}
}
