package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// place grants a request to the only target, which reports the running requests.
func (f *fixture) place(id string, running int, nonIdempotent bool) *Ticket {
	f.t.Helper()
	t := f.ticket()
	t.NonIdempotent, t.Deadline = nonIdempotent, f.now.Add(6*time.Second)
	f.Report(id, Load{Running: running, Slots: 4, Slowdown: 1}, f.now, f.now)
	require.Equal(f.t, id, f.grantedTarget(f.submit(t)))
	return t
}

// Answers the load of a burst, in which a target that is full neither rejects nor answers a
// request. Guards against a slot that stays counted for the dropped request until its
// deadline, and against a healthy target that is avoided for it.
func TestDroppedRequestIsNotCounted(t *testing.T) {
	f := newFixture(t, 1, 0)
	dropped := f.place("a0", 0, true)
	require.True(t, f.LacksReport("a0", dropped))
	f.advance(100*time.Millisecond).report("a0", 0, 1)
	require.False(t, f.RecordDropped("a0", dropped, f.now), "the request may not have arrived when the report was asked for")
	require.False(t, f.LacksReport("a0", dropped))
	f.ReportSlow("a0", dropped, f.now)
	require.Zero(t, f.targets["a0"].failureShare, "the target may have dropped the request")
	f.advance(300*time.Millisecond).report("a0", 1, 1)
	require.False(t, f.RecordDropped("a0", dropped, f.now), "the reported request may be this one")
	f.advance(100*time.Millisecond).report("a0", 0, 1)
	require.True(t, f.RecordDropped("a0", dropped, f.now))
	require.False(t, f.RecordDropped("a0", dropped, f.now), "it is recorded once")
	require.Empty(t, f.targets["a0"].running)
	require.Zero(t, f.targets["a0"].failureShare)
	require.True(t, f.targets["a0"].avoidUntil.IsZero())
	f.End("a0", dropped, Canceled, f.now)
	f.place("a0", 0, false)
}

// Guards against a hanging or slow target that passes for one that drops requests: it keeps
// the request in its report.
func TestHangingTargetHasNotDroppedItsRequest(t *testing.T) {
	f := newFixture(t, 1, 0)
	first := f.place("a0", 0, false)
	f.advance(time.Second)
	second := f.place("a0", 1, false)
	f.advance(time.Second).report("a0", 2, 1)
	require.False(t, f.RecordDropped("a0", first, f.now))
	require.False(t, f.RecordDropped("a0", second, f.now))
	f.advance(time.Second).report("a0", 1, 1)
	require.True(t, f.RecordDropped("a0", second, f.now), "one of the two is gone")
	require.False(t, f.RecordDropped("a0", first, f.now), "the other one is reported")
	f.ReportSlow("a0", first, f.now)
	require.Positive(t, f.targets["a0"].failureShare)
}

// Answers the load at which the probe budget is used up and targets drop what they cannot
// queue. Guards against a request that must not run twice and is sent by an old report, or
// without one, to a target that may be full.
func TestNonIdempotentRequestsNeedProvenRoom(t *testing.T) {
	for _, nonIdempotent := range []bool{true, false} {
		f := newFixture(t, 1, 0)
		dropped := f.place("a0", 0, true)
		f.advance(500*time.Millisecond).report("a0", 0, 1)
		require.True(t, f.RecordDropped("a0", dropped, f.now))
		f.AllowProbes = func(int, time.Time) int { return 0 }
		f.advance(100 * time.Millisecond)
		q := f.ticket()
		q.NonIdempotent, q.Deadline = nonIdempotent, f.now.Add(6*time.Second)
		a := f.submit(q)
		for range 200 {
			if len(a.Grants) > 0 {
				break
			}
			a = f.advance(5 * time.Millisecond).Step(f.now)
		}
		require.Equal(t, nonIdempotent, len(a.Grants) == 0)
		if nonIdempotent {
			f.report("a0", 0, 1)
			require.Equal(t, "a0", f.grantedTarget(f.Step(f.now)), "a fresh report proves the room")
		}
	}
}
