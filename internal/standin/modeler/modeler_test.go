package modeler

import (
	"bytes"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func rows(t *testing.T, load string) map[string]Row {
	t.Helper()
	for _, l := range Workloads {
		if l.Name == load {
			byWay := map[string]Row{}
			compared := slices.DeleteFunc(slices.Clone(Strategies), func(w Way) bool {
				return !slices.Contains([]string{"fresh reports", "two choices", "true state"}, w.Name)
			})
			// A burst differs much from seed to seed.
			for _, r := range Simulate([]Workload{l}, compared, 10) {
				byWay[r.Way] = r
			}
			return byWay
		}
	}
	t.Fatalf("no load %q", load)
	return nil
}

// The load patterns that placing answers: near to what the true state allows, and
// far from what counts and chance allow.
func TestFreshReportsComeNearTheTrueState(t *testing.T) {
	for load, gap := range map[string]float64{"calm": 0.04, "burst": 0.06, "full": 0.1, "uneven zones": 0.08, "few targets": 0.08, "three slots": 0.04, "steady targets": 0.03} {
		by := rows(t, load)
		require.Less(t, by["true state"].Objective-by["fresh reports"].Objective, gap, load)
		require.Greater(t, by["fresh reports"].Objective, by["two choices"].Objective, load)
		require.Greater(t, by["fresh reports"].Served, 0.95, load)
	}
}

func TestPlotAndTable(t *testing.T) {
	r := Simulate(Workloads[:1], Strategies[:1], 1)
	var table, plot bytes.Buffer
	require.NoError(t, Print(r, &table))
	require.NoError(t, Plot(append(r, r...), &plot))
	require.Contains(t, table.String(), "fresh reports")
	require.Contains(t, plot.String(), "<svg")
}
