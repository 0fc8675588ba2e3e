package watchdog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestGuard(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	g := New(start)
	require.True(t, g.Beat(at(Period)))
	require.False(t, g.Old(at(Period+Limit)), "a slow machine is not a pause")

	paused := Period + Limit + time.Millisecond
	require.True(t, g.Old(at(paused)), "a request that comes first sees the pause")
	require.False(t, g.Beat(at(paused)), "a beat does not make old beliefs current")
	require.True(t, g.Old(at(paused+time.Millisecond)))

	g.Renew(at(paused + time.Second))
	require.False(t, g.Old(at(paused+time.Second)))
	require.True(t, g.Beat(at(paused+time.Second+Period)))
}
