package watchdog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPauseExpiresWatchdog guards against a pause that goes unnoticed, or that the
// first heartbeat after it hides, and against a slow machine that counts as paused.
func TestPauseExpiresWatchdog(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	w := New(start)
	require.True(t, w.Heartbeat(at(HeartbeatPeriod)))
	require.False(t, w.Expired(at(HeartbeatPeriod+Timeout)), "a heartbeat that is late by the timeout counts as a pause")

	paused := HeartbeatPeriod + Timeout + time.Millisecond
	require.True(t, w.Expired(at(paused)), "a request that arrives before the next heartbeat does not see the pause")
	require.False(t, w.Heartbeat(at(paused)), "a heartbeat after a pause makes outdated data current")
	require.True(t, w.Expired(at(paused+time.Millisecond)))

	w.Reset(at(paused + time.Second))
	require.False(t, w.Expired(at(paused+time.Second)))
	require.True(t, w.Heartbeat(at(paused+time.Second+HeartbeatPeriod)))
}
