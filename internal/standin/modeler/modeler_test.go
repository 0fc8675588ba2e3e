package modeler

import (
	"bytes"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// simulateRows returns the rows of one workload for the strategies of these names.
func simulateRows(t *testing.T, workload string, names ...string) map[string]Row {
	t.Helper()
	at := slices.IndexFunc(Workloads, func(l Workload) bool { return l.Name == workload })
	require.GreaterOrEqual(t, at, 0, "no workload is named %q", workload)
	strategies := slices.DeleteFunc(slices.Clone(Strategies), func(s Strategy) bool { return !slices.Contains(names, s.Name) })
	require.Len(t, strategies, len(names))
	byStrategy := map[string]Row{}
	// 10 seeds, since the results of a burst vary a lot between seeds.
	for _, r := range Simulate(Workloads[at:at+1], strategies, 10) {
		byStrategy[r.Strategy] = r
	}
	return byStrategy
}

// TestFreshReportsComeNearTheTrueState guards against changes of the placer that make it
// worse under one of the workloads. With fresh reports its share of requests within the
// objective must be close to the share that the true state of the targets allows, and
// above the share of the strategy "two choices".
func TestFreshReportsComeNearTheTrueState(t *testing.T) {
	for workload, gap := range map[string]float64{"calm": 0.04, "burst": 0.06, "full": 0.1, "uneven zones": 0.08, "few targets": 0.08, "three slots": 0.04, "steady targets": 0.03, "two targets a zone": 0.08} {
		byStrategy := simulateRows(t, workload, "fresh reports", "two choices", "true state")
		require.Less(t, byStrategy["true state"].WithinObjective-byStrategy["fresh reports"].WithinObjective, gap, workload)
		require.Greater(t, byStrategy["fresh reports"].WithinObjective, byStrategy["two choices"].WithinObjective, workload)
		require.Greater(t, byStrategy["fresh reports"].Served, 0.95, workload)
	}
}

// TestLocalWaitSavesTrafficBetweenZones replays short times in which the two targets of a
// zone are busy. It guards against requests that leave their zone then: with the wait for
// a local target, fewer do so, and no fewer meet their objective.
func TestLocalWaitSavesTrafficBetweenZones(t *testing.T) {
	byStrategy := simulateRows(t, "two targets a zone", "fresh reports", "remote zones at once")
	wait, atOnce := byStrategy["fresh reports"], byStrategy["remote zones at once"]
	require.Less(t, wait.Remote, 0.8*atOnce.Remote)
	require.Greater(t, wait.WithinObjective, atOnce.WithinObjective-0.01)
}

// TestShedClientsReturnInTime replays targets that shed half of their requests although
// they have room. It guards against clients that are told to return when their objective
// can hardly be met any more: with prompt returns, more requests meet it.
func TestShedClientsReturnInTime(t *testing.T) {
	byStrategy := simulateRows(t, "shed half", "fresh reports", "late returns")
	prompt, late := byStrategy["fresh reports"], byStrategy["late returns"]
	require.Greater(t, prompt.WithinObjective, late.WithinObjective+0.02)
	require.GreaterOrEqual(t, prompt.Served, late.Served-0.01)
}

func TestPlotAndTable(t *testing.T) {
	r := Simulate(Workloads[:1], Strategies[:1], 1)
	var table, plot bytes.Buffer
	require.NoError(t, Print(r, &table))
	require.NoError(t, Plot(append(r, r...), &plot))
	require.Contains(t, table.String(), "fresh reports")
	require.Contains(t, plot.String(), "<svg")
}
