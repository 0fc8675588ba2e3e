package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that wait for a slot when the instance ends, and that then lose their
// connection without an answer; and against requests that are started so late that they are cut
// off, although another instance could serve them.
func TestNoRequestWaitsForTheEndOfAStop(t *testing.T) {
	const work = 160 * time.Millisecond // assumedWorkShare of the latency objective
	for name, isBusy := range map[string]bool{"no slot is free": true, "slots become free": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, 0)
			f.AllowProbes = func(n int, _ time.Time) int { return n }
			end := f.now.Add(2 * time.Second)
			ticket := func() *Ticket {
				q := f.ticket()
				q.Deadline = f.now.Add(8 * time.Second)
				return q
			}
			var open int
			f.Submit(ticket())
			f.StopAt(end)
			f.Submit(ticket())
			open = 2
			for ; f.now.Before(end); f.advance(10 * time.Millisecond) {
				running := 2
				if !isBusy && end.Sub(f.now) < 300*time.Millisecond {
					running = 0
				}
				f.report("a0", running, 1)
				a := f.Step(f.now)
				for _, g := range a.Grants {
					require.False(t, f.now.Add(g.Expected).After(end), "started %s before the end", end.Sub(f.now))
				}
				for _, r := range a.Rejections {
					require.Equal(t, Stopping, r.Reason)
					require.LessOrEqual(t, r.RetryAfter, minRetryAfter)
					require.GreaterOrEqual(t, end.Sub(f.now), work-20*time.Millisecond, "rejected too late to be answered")
				}
				open -= len(a.Grants) + len(a.Rejections)
				if isBusy {
					require.Empty(t, a.Grants)
				}
			}
			require.Zero(t, open, "requests still wait at the end")
			late := f.submit(ticket())
			require.Len(t, late.Rejections, 1, "a request that comes later")
			require.Equal(t, Stopping, late.Rejections[0].Reason)
		})
	}
}

// Guards against a request that is started shortly before the end of a stop, takes a little longer
// than usual and is cut off: targets that may need half as long again get none, and what none can
// serve any more is rejected at once.
func TestStopLeavesTimeForWorkThatVaries(t *testing.T) {
	const work = 160 * time.Millisecond // assumedWorkShare of the latency objective
	for left := work; left <= 2*work; left += 10 * time.Millisecond {
		f := newFixture(t, 1, 0)
		f.StopAt(f.now.Add(left))
		f.report("a0", 0, 1)
		q := f.ticket()
		q.Deadline = f.now.Add(8 * time.Second)
		a := f.submit(q)
		require.Equal(t, left >= work*3/2, len(a.Grants) == 1, "%s left", left)
		require.Equal(t, left < work*3/2, len(a.Rejections) == 1, "%s left", left)
		for _, r := range a.Rejections {
			require.Equal(t, Stopping, r.Reason)
		}
	}
}

// Guards against a stop that changes what is right for requests that end before it.
func TestStopLeavesEarlierDeadlinesAlone(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.StopAt(f.now.Add(time.Minute))
	q := f.ticket()
	deadline := q.Deadline
	f.Submit(q)
	require.Equal(t, deadline, q.Deadline)
	f.report("a0", 2, 1)
	a := f.advance(time.Second).Step(f.now)
	require.Len(t, a.Rejections, 1)
	require.Equal(t, DeadlineUnreachable, a.Rejections[0].Reason)
}
