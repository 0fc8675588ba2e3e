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
	require.True(t, g.Heartbeat(at(HeartbeatPeriod)))
	require.False(t, g.Expired(at(HeartbeatPeriod+Timeout)), "a slow machine is not a pause")

	paused := HeartbeatPeriod + Timeout + time.Millisecond
	require.True(t, g.Expired(at(paused)), "a request that comes first sees the pause")
	require.False(t, g.Heartbeat(at(paused)), "a beat does not make old beliefs current")
	require.True(t, g.Expired(at(paused+time.Millisecond)))

	g.Reset(at(paused + time.Second))
	require.False(t, g.Expired(at(paused+time.Second)))
	require.True(t, g.Heartbeat(at(paused+time.Second+HeartbeatPeriod)))
}
