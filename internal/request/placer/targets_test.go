package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A target that becomes cold while it is in use must count as slow from then on, and one that
// is warm before its time as fast.
func TestWarmupOfAKnownTargetMoves(t *testing.T) {
	f := newFixture(t, 1, 0)
	slowdown := func(end time.Time) float64 {
		f.SetTargets([]Target{{ID: "a0", Zone: "a", Slots: 2, WarmupEnd: end}})
		return f.targets["a0"].slowdown(f.now)
	}
	warm := slowdown(f.now)
	require.InDelta(t, warmupSlowdown*warm, slowdown(f.now.Add(3*time.Second)), 1e-9)
	require.InDelta(t, warm, slowdown(f.now), 1e-9)
}
