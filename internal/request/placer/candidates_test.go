package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Replays a report that arrives while ten requests wait in a service of 266 targets. Guards
// against an instance that goes through all targets for each of them, lags, and lets more
// requests wait.
func TestReportCostsNoMoreWithEachRequestThatWaits(t *testing.T) {
	const targets, maxAllocations = 266, 40
	f := newFixture(t, targets, 0)
	for range 10 {
		late := f.ticket()
		late.ObjectiveTime, late.Deadline = f.now, f.now.Add(time.Hour)
		f.Submit(late)
	}
	f.Step(f.now)
	allocations := testing.AllocsPerRun(20, func() {
		f.advance(time.Millisecond).report("a7", 0, 5)
		f.Step(f.now)
	})
	require.Equal(t, 10, f.Waiting())
	require.LessOrEqual(t, allocations, float64(maxAllocations))
}
