package prover

import (
	"strings"
	"sync"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/recorder"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

// recoveryTree ejects for long, so that only a probe brings a target back soon.
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

// recoverOne lets a target fail fast for a while and returns the time from its
// recovery until it worked again, and the number of probes.
func recoverOne(t *testing.T, weights string) (back time.Duration, probes int) {
	t.Helper()
	f := starter.NewFleet(t, starter.Config{
		Tree: strings.Replace(recoveryTree, "WEIGHTS", weights, 1), Place: "himal", Service: "parts", Targets: 6, Instances: 1,
	})
	traffic := load("r", 13*time.Second, f.Instances...)
	traffic.KindLoads = traffic.KindLoads[:1]
	traffic.KindLoads[0].Rate = 200
	results := starter.Load(t, traffic)
	time.Sleep(2 * time.Second)
	victim := f.Targets[0].Address
	f.Fault(t, victim, "failfast", "")
	time.Sleep(5 * time.Second)
	f.Mend(t, victim, "failfast")
	mended := time.Now()
	<-results
	back = time.Hour
	for _, e := range f.Record(t) {
		if e.Type == recorder.Probe {
			probes++
		}
		if e.Type == recorder.End && e.Cause == "done" && e.Target == victim.String() && e.Time.After(mended) {
			back = min(back, e.Time.Sub(mended))
		}
	}
	return back, probes
}

func TestWeightsShapeProbing(t *testing.T) {
	t.Parallel()
	weights := []string{"tail: 8, cost: 3", "tail: 4, cost: 8", "tail: 0, cost: 8"}
	counts := make([]int, len(weights))
	var running sync.WaitGroup
	for i, w := range weights {
		running.Go(func() {
			back, probes := recoverOne(t, w)
			t.Logf("%s: back after %s, %d probes", w, back.Round(time.Millisecond), probes)
			counts[i] = probes
		})
	}
	running.Wait()
	if counts[0] <= counts[1] || counts[1] == 0 || counts[2] != 0 {
		t.Errorf("probes by weights: %v", counts)
	}
}
