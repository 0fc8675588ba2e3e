package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against targets that get requests for longer than they serve after their entry was
// removed, because a failed call of one reader counts as an outage of the store; and against
// live targets that lose all requests after a true outage.
func TestCompleteness(t *testing.T) {
	const step = 100 * time.Millisecond
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		// failures is how long calls fail, and current how long before their end the copy was
		// last known to be current.
		failures, current time.Duration
		// outage means that the entries of live targets may have expired.
		outage bool
	}{
		"no failure":                           {0, time.Second, false},
		"a watch that is cut":                  {step, 1300 * time.Millisecond, false},
		"a refused call":                       {step, step, false},
		"a partition while a peer reads":       {4 * time.Second, time.Second, false},
		"a failure long ago, peers read since": {time.Minute, 1100 * time.Millisecond, false},
		"an outage of the store":               {4 * time.Second, 4 * time.Second, true},
		"a frozen reader":                      {0, 10 * time.Second, false},
		"a short outage":                       {2 * time.Second, 2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			m, now := Completeness{Drain: 2 * time.Second}, start
			for ; now.Sub(start) < c.failures; now = now.Add(step) {
				m.RecordFailure()
			}
			m.RecordSuccess(now.Add(-c.current), now)
			for since := time.Duration(0); since < 4*time.Second; since += step {
				listing, change := m.Grace(true, now.Add(since)), m.Grace(false, now.Add(since))
				if !c.outage || since >= returnGrace {
					require.Zero(t, listing, "%s after the first success", since)
					require.Zero(t, change, "%s after the first success", since)
					continue
				}
				require.Equal(t, returnGrace, since+listing, "an entry that expired in the outage")
				require.LessOrEqual(t, change+removalDelay, m.Drain, "a removal that was seen")
			}
			m.RecordCopy(now)
			require.Equal(t, returnGrace, m.Grace(true, now))
		})
	}
}

// Guards against a grace that is longer than the time for which targets serve, in deployments
// with another one.
func TestRemovalGraceFollowsDrain(t *testing.T) {
	for _, drain := range []time.Duration{0, time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 10 * time.Second} {
		grace := removalGrace(drain)
		require.GreaterOrEqual(t, grace, time.Duration(0))
		if drain >= removalDelay {
			require.LessOrEqual(t, grace+removalDelay, drain)
		}
	}
	require.Positive(t, removalGrace(0))
}
