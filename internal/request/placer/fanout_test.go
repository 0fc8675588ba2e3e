package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Replays requests while a share of the targets is slow, the work of a fleet whose slots are
// half used. Guards against probes that tell nothing new: they take processor time from
// requests, at both ends.
func TestRoundsProbeFewWhileMostTargetsAreFree(t *testing.T) {
	for _, c := range []struct {
		slow    float64
		atMost  float64
		atLeast float64
	}{
		{slow: 0, atMost: 2.2, atLeast: 2},
		{slow: 0.3, atMost: 2.6, atLeast: 2},
		{slow: 0.9, atMost: 12, atLeast: 4},
	} {
		const warmUp, requests = 200, 1000
		f := newFixture(t, 40, 0)
		probes := 0
		for k := range warmUp + requests {
			a := f.submit(f.ticket())
			for granted := false; !granted; {
				if k >= warmUp {
					probes += len(a.Probes)
				}
				f.advance(2 * time.Millisecond)
				next := Actions{}
				for _, q := range a.Probes {
					slowdown := 1.0
					if f.Random() < c.slow {
						slowdown = 5
					}
					f.report(q.ID, 0, slowdown)
					if next = f.Step(f.now); len(next.Grants) > 0 {
						f.End(next.Grants[0].Target.ID, next.Grants[0].Ticket, Canceled, f.now)
						granted = true
						break
					}
				}
				if granted = granted || f.Waiting() == 0; granted {
					break
				}
				if len(next.Probes) == 0 {
					next = f.advance(probeInterval).Step(f.now)
				}
				a = next
			}
			f.advance(100 * time.Millisecond)
		}
		require.LessOrEqual(t, float64(probes)/requests, c.atMost, "%v of the targets are slow", c.slow)
		require.GreaterOrEqual(t, float64(probes)/requests, c.atLeast, "%v of the targets are slow", c.slow)
	}
}

// Guards against a request that waits for the next round although all targets of a short one
// have reported to be slow.
func TestShortRoundIsFollowedAtOnce(t *testing.T) {
	f := newFixture(t, 40, 0)
	f.hitShare = 1
	a := f.submit(f.ticket())
	require.Len(t, a.Probes, minFanout)
	f.advance(2*time.Millisecond).report(a.Probes[0].ID, 0, 5)
	require.Empty(t, f.Step(f.now).Probes, "a report is outstanding")
	f.report(a.Probes[1].ID, 0, 5)
	for _, want := range []int{minFanout, localFanout} {
		a = f.Step(f.now)
		require.Len(t, a.Probes, want)
		f.advance(2 * time.Millisecond)
		for _, q := range a.Probes {
			f.report(q.ID, 0, 5)
		}
	}
	require.Empty(t, f.Step(f.now).Probes, "another round at once")
}

// Guards against a zone with as few targets as a short round probes: when all of them have
// reported to be busy, a round at once would find nobody to ask and use up the rounds that
// lead to other zones.
func TestRoundOfAllTargetsIsNotShort(t *testing.T) {
	f := newFixture(t, minFanout, 3)
	f.hitShare = 1
	a := f.submit(f.ticket())
	require.Len(t, a.Probes, minFanout)
	f.advance(2 * time.Millisecond)
	for _, q := range a.Probes {
		f.report(q.ID, 2, 1)
	}
	waiting := f.waiting[0]
	f.Step(f.now)
	require.Equal(t, 1, waiting.rounds)
	f.advance(probeInterval).Step(f.now)
	require.Equal(t, 2, waiting.rounds)
}
