package prover

import (
	"math/rand"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/recorder"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

const (
	// probeWindow and probeBudget are the settings "window" and "probes" of probeTree:
	// the fleet may send probeBudget probes to the targets of a service in each window.
	probeWindow = 2 * time.Second
	probeBudget = 6
	// probeTargets is the number of targets, and failingTargets is the number of targets
	// that fail.
	probeTargets, failingTargets = 16, 4
	// probeIdleDuration is the time without load at the start, so that all targets are
	// cold: apart from one request per instance, they have had no traffic since their
	// start. probeTestDuration includes it.
	probeIdleDuration, probeTestDuration = 5 * time.Second, 13 * time.Second
)

// probeTree has the maximum weight for tail latency and none for cost, so that targets are
// probed as often as the budget allows.
const probeTree = `
version: 1
settings: {fleet: 3, keep: 1s, epoch: 5s, forget: 20s}
places:
  himal:
    settings: {slots: 2, connections: 250, window: 2s, timeout: 100ms, tail: 10, cost: 0, failures: 2, eject: 30s}
    services:
      parts:
        settings: {probes: 6, queue: 256}
        kinds:
          lookup: {priority: urgent, deadline: 1s, wait: 500ms}
          confirm: {once: true, deadline: 1s, wait: 500ms}
`

// countProbes returns the maximum number of probes that arrived within probeWindow, and the
// number of all probes.
func countProbes(events []recorder.Event) (most, all int) {
	var arrivals []time.Time
	for _, e := range events {
		if e.Type == recorder.Probe {
			arrivals = append(arrivals, e.Time)
		}
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].Before(arrivals[j]) })
	first := 0
	for i := range arrivals {
		for arrivals[i].Sub(arrivals[first]) >= probeWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, len(arrivals)
}

// probesDuringFaults partitions the fleet, makes targets fail and pauses them while
// instances are paused and restarted. It returns the counts of probes that arrived at the
// targets, as in countProbes.
func probesDuringFaults(t *testing.T, tree string, seed int64) (most, all int) {
	t.Helper()
	f := starter.NewFleet(t, starter.Config{Tree: tree, Place: "himal", Service: "parts", Targets: probeTargets, Instances: 3})
	// All exchange between the instances is blocked, so that each of them considers itself
	// the owner of all targets.
	for i, one := range f.Instances {
		for _, other := range f.Instances[:i] {
			f.BlockPeers(t, one, other)
		}
	}
	// An instance probes the targets of a service only after its first request for the
	// service.
	for _, i := range f.Instances {
		if _, _, err := starter.Call(http.MethodPost, i.Entry.Address, "/s/parts/lookup/item", ""); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(probeIdleDuration)
	traffic := mixedLoad("r", probeTestDuration-probeIdleDuration, f.Instances...)
	traffic.AnyInstance, traffic.RequestTimeout = true, 2*time.Second
	results := starter.StartLoad(t, traffic)
	for _, target := range f.Targets[:failingTargets] {
		f.InjectFault(t, target.Address, "failfast", "")
	}
	restartAndPause(t, f, seed)
	<-results
	return countProbes(f.RecordedEvents(t))
}

// restartAndPause pauses and restarts random instances and pauses random targets.
func restartAndPause(t *testing.T, f *starter.Fleet, seed int64) {
	t.Helper()
	random := rand.New(rand.NewSource(seed))
	for began := time.Now(); time.Since(began) < probeTestDuration-probeIdleDuration; {
		n := random.Intn(len(f.Instances))
		target := f.Targets[random.Intn(len(f.Targets))]
		length := time.Duration(300+random.Intn(900)) * time.Millisecond
		switch random.Intn(3) {
		case 0:
			f.Instances[n].Pause()
			time.Sleep(length)
			f.Instances[n].Continue()
		case 1:
			f.Instances[n].Kill()
			f.Restart(t, n)
		default:
			target.Pause()
			time.Sleep(2 * length)
			target.Continue()
		}
	}
}

// TestProbesStayWithinBudget guards against more probes than the budget of the fleet allows:
// instances of a partitioned fleet do not know of each other's probes, and a restarted
// instance does not know of the probes before its restart.
func TestProbesStayWithinBudget(t *testing.T) {
	t.Parallel()
	most, all := probesDuringFaults(t, probeTree, 1)
	t.Logf("%d probes, at most %d within %s, the budget is %d", all, most, probeWindow, probeBudget)
	if most > probeBudget {
		t.Error("the probes exceed the budget")
	}
	if all == 0 {
		t.Error("no probe arrived, so the test is not conclusive")
	}
}

// TestBudgetCheckRejectsUndividedBudget guards against a check that detects nothing. Each
// instance sends as many probes as the budget of the whole fleet allows.
func TestBudgetCheckRejectsUndividedBudget(t *testing.T) {
	t.Parallel()
	// With three times the budget in the tree, the share of each of the three instances
	// equals probeBudget.
	most, all := probesDuringFaults(t, strings.Replace(probeTree, "probes: 6", "probes: 18", 1), 1)
	t.Logf("%d probes, at most %d within %s", all, most, probeWindow)
	if most <= probeBudget {
		t.Error("the probes stay within the budget although each of three instances uses all of it")
	}
}
