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
	// probeWindow and probeBudget are those of the tree.
	probeWindow = 2 * time.Second
	probeBudget = 6
	// probeTargets is the number of targets, and failing how many of them fail.
	probeTargets, failing = 16, 4
	// probeCalm is how long there is no traffic, so that all targets are cold, and
	// probeScene the whole length.
	probeCalm, probeScene = 5 * time.Second, 13 * time.Second
)

// probeTree weighs the tail as much as it can, so that targets are probed
// as often as the budget allows.
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

// densest returns the number of probes that arrived in the fullest window, and
// of all.
func densest(events []recorder.Event) (most, all int) {
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

// probes splits the fleet, lets targets fail and stop while instances are paused
// and restarted, and counts the probes at the targets.
func probes(t *testing.T, tree string, seed int64) (most, all int) {
	t.Helper()
	f := starter.NewFleet(t, starter.Config{Tree: tree, Place: "himal", Service: "parts", Targets: probeTargets, Instances: 3})
	// Every instance is cut from the others and takes all targets for its own.
	for i, one := range f.Instances {
		for _, other := range f.Instances[:i] {
			f.Cut(t, one, other)
		}
	}
	// An instance looks after the targets of a service from its first request on.
	for _, i := range f.Instances {
		if _, _, err := starter.Call(http.MethodPost, i.Entry.Address, "/s/parts/lookup/item", ""); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(probeCalm)
	traffic := load("r", probeScene-probeCalm, f.Instances...)
	traffic.AnyInstance, traffic.RequestTimeout = true, 2*time.Second
	results := starter.Load(t, traffic)
	for _, target := range f.Targets[:failing] {
		f.Fault(t, target.Address, "failfast", "")
	}
	harass(t, f, seed)
	<-results
	return densest(f.Record(t))
}

// harass restarts and pauses instances and targets.
func harass(t *testing.T, f *starter.Fleet, seed int64) {
	t.Helper()
	random := rand.New(rand.NewSource(seed))
	for began := time.Now(); time.Since(began) < probeScene-probeCalm; {
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

func TestProbesStayWithinBudget(t *testing.T) {
	t.Parallel()
	most, all := probes(t, probeTree, 1)
	t.Logf("%d probes, at most %d within %s, allowed are %d", all, most, probeWindow, probeBudget)
	if most > probeBudget {
		t.Error("the budget was exceeded")
	}
	if all == 0 {
		t.Error("nothing was probed: the scene proves nothing")
	}
}

func TestBudgetCheckRejectsUndividedBudget(t *testing.T) {
	t.Parallel()
	// With three times the budget in the tree, the share of one of the three
	// instances is what the whole fleet may send.
	most, all := probes(t, strings.Replace(probeTree, "probes: 6", "probes: 18", 1), 1)
	t.Logf("%d probes, at most %d within %s", all, most, probeWindow)
	if most <= probeBudget {
		t.Error("three instances that each take the whole budget stayed within it")
	}
}
