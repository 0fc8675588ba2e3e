package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Replays a burst that has used up the probes. Guards against a request that starts at
// once by a report of 300 ms before, at a target that is full by now: it must wait for
// the next report, or for as long as the report was old when it arrived.
func TestDeniedProbesDoNotMakeOldReportsFresh(t *testing.T) {
	f := newFixture(t, 2, 0)
	f.AllowProbes = func(int, time.Time) int { return 0 }
	f.report("a0", 0, 1)
	f.advance(300 * time.Millisecond)
	require.Empty(t, f.submit(f.ticket()).Grants)
	f.advance(probeInterval)
	require.Empty(t, f.Step(f.now).Grants)
	f.report("a1", 0, 1)
	require.Equal(t, "a1", f.grantedTarget(f.Step(f.now)))

	late := f.advance(200 * time.Millisecond).ticket()
	late.ObjectiveTime, late.Deadline, late.LatencyObjective = f.now.Add(2*time.Second), f.now.Add(4*time.Second), 2*time.Second
	require.Empty(t, f.submit(late).Grants)
	require.Equal(t, "a1", f.grantedTarget(f.advance(200*time.Millisecond).Step(f.now)), "without any probe, older reports have to do")
}

// Replays targets that shed requests although they have room. Guards against a client
// that returns too late for its objective, and against clients that return before the
// requests that wait.
func TestShedRequestsReturnAtOnceWhileNothingWaits(t *testing.T) {
	f := newFixture(t, 1, 0)
	require.LessOrEqual(t, f.RetryAfterShed(f.now), 2*shedRetryAfter)
	f.report("a0", 2, 1)
	for range 5 {
		f.submit(f.ticket())
	}
	require.Equal(t, 5, f.Waiting())
	require.Greater(t, f.RetryAfterShed(f.now), time.Second, "no request starts, and five wait")
}

// Replays a first request that was held up in a cut for longer than its kind's deadline.
// Guards against a work time of that length, with which no request of the kind starts again
// and nothing corrects it.
func TestHeldUpFirstRequestDoesNotStopItsKind(t *testing.T) {
	f := newFixture(t, 2, 0)
	first := f.ticket()
	f.submit(first)
	f.report("a0", 0, 1)
	id := f.grantedTarget(f.Step(f.now))
	f.advance(2300*time.Millisecond).End(id, first, Served, f.now)
	f.submit(f.ticket())
	f.report("a0", 0, 1)
	require.NotEmpty(t, f.grantedTarget(f.Step(f.now)))
}
