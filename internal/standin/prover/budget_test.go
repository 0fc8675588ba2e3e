package prover

import (
	"slices"
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/recorder"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

const (
	// budget and window are those of budgetTree, one probe a window for each of
	// four instances.
	budget = 4
	window = time.Second
	// stall is how much closer together probes may arrive than they were sent,
	// because a process on a busy machine reads its sockets late.
	stall = 250 * time.Millisecond
)

// budgetTree wants many probes: every instance is a home, and failing targets
// stay ejected.
var budgetTree = strings.NewReplacer("fleet: 8", "fleet: 4", "probes: 16", "probes: 4, tail: 10, cost: 0, rate: 10, failures: 1, eject: 30s",
	"window: 4s, timeout: 500ms", "window: 1s, timeout: 100ms").Replace(tree)

// busiestWindow returns the greatest number of probes that arrived within a
// window, wherever it begins.
func busiestWindow(events []recorder.Event) int {
	var times []time.Time
	for _, e := range events {
		if e.Type == recorder.Probe {
			times = append(times, e.Time)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= window-stall {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// restartInLoop kills and restarts, or pauses, instances half of whose targets
// fail, so that probes are wanted, and returns the record of the targets.
func restartInLoop(t *testing.T, settings string) []recorder.Event {
	t.Helper()
	f := starter.NewFleet(t, starter.Config{
		Tree: settings, Place: "himal", Service: "parts", Targets: 8, Instances: 4,
	})
	for _, target := range f.Targets[:4] {
		f.Fault(t, target.Address, "failfast", "")
	}
	traffic := load("r", 12*time.Second, f.Instances...)
	traffic.Spread, traffic.Patience = true, 2*time.Second
	results := starter.Load(t, traffic)
	for round := range 6 {
		n := round % len(f.Instances)
		f.Instances[n].Kill()
		f.Restart(t, n)
		paused := f.Instances[(n+1)%len(f.Instances)]
		paused.Pause()
		time.Sleep(window / 2)
		paused.Continue()
		f.AwaitInstance(t, f.Instances[n])
		time.Sleep(3 * window / 2)
	}
	<-results
	return f.Record(t)
}

func TestProbesStayWithinBudgetUnderRestarts(t *testing.T) {
	events := restartInLoop(t, budgetTree)
	most := busiestWindow(events)
	if most > budget {
		t.Errorf("%d probes arrived within %s, the budget is %d", most, window, budget)
	}
	if most == 0 {
		t.Error("no probe was sent, so that nothing was proved")
	}
	t.Logf("at most %d probes within %s of a budget of %d", most, window, budget)
}

func TestBudgetCheckRejectsSharesOfTooSmallFleet(t *testing.T) {
	events := restartInLoop(t, strings.Replace(budgetTree, "fleet: 4", "fleet: 1", 1))
	if most := busiestWindow(events); most <= budget {
		t.Errorf("only %d probes, though each of 4 instances had the whole budget of %d", most, budget)
	}
}
