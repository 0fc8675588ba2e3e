package limiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tolerated, overshoot and warmupSlack are figures of a deployment with cold targets.
const (
	tolerated   = 3.5
	overshoot   = 1.5
	warmupSlack = 8
	second      = time.Second
)

// mostInSecond returns the greatest number of messages in any second from a time on.
func (f *fleet) mostInSecond(from time.Time) int {
	most, first := 0, 0
	for k, at := range f.sent {
		for at.Sub(f.sent[first]) >= second {
			first++
		}
		if !f.sent[first].Before(from) {
			most = max(most, k-first+1)
		}
	}
	return most
}

// Guards against a cold target that gets more requests in a second than the fleet's bound:
// at several sizes of the fleet, while all instances want to use it, from the first moment on,
// while instances stop, freeze and start, while zones are cut off, and while the fleet falls
// apart and comes together again.
func TestFleetKeepsTheBoundOfAColdTarget(t *testing.T) {
	rate := WarmupRate(tolerated, overshoot, warmupSlack)
	for _, n := range []int{16, 98, 472} {
		for seed := range int64(8) {
			t.Run(fmt.Sprintf("%d instances, seed %d", n, seed), func(t *testing.T) {
				f := newFleet(n, 1000*int64(n)+seed)
				until := f.now.Add(time.Hour)
				for _, i := range f.instances {
					i.SetWarmup(run, Warmup{Rate: rate, Until: until})
				}
				start := f.now
				f.advance(4*time.Second, 300*time.Millisecond)
				require.Greater(t, float64(len(f.sent)), 0.6*tolerated*4, "a cold target is used")
				require.LessOrEqual(t, float64(len(f.sent)), tolerated*4+1, "it gets no more than it tolerates while the fleet is calm")
				for range 8 {
					l := layout{down: map[int]bool{}, part: map[int]int{}}
					parts, stopped := 1+f.random.Intn(3), f.random.Float64()*0.5
					byZone := f.random.Intn(2) == 0
					for k := range n {
						l.down[k] = f.random.Float64() < stopped
						l.part[k] = f.random.Intn(parts)
						if byZone {
							l.part[k] = k % parts
						}
					}
					f.change(l)
					f.advance(time.Duration(300+f.random.Intn(2500))*time.Millisecond, 300*time.Millisecond)
				}
				t.Log("most in a second", f.mostInSecond(start), "bound", overshoot*tolerated+warmupSlack)
				require.LessOrEqual(t, float64(f.mostInSecond(start)), overshoot*tolerated+warmupSlack)
			})
		}
	}
}

// Guards against an owner that does not know of warm-ups and so grants everything, and
// against a limit that stays at it for good: it takes the rate in a request as a limit, until
// a response names none.
func TestOwnerThatKnowsNoWarmupKeepsItAsALimit(t *testing.T) {
	now := time.Unix(1000, 0)
	asking, owner := New(), New()
	asking.SetWarmup(run, Warmup{Rate: tolerated, Until: now.Add(3 * time.Second)})
	granted := 0
	for ; asking.Bound(run, now) != Unlimited; now = now.Add(10 * time.Millisecond) {
		if p, _ := owner.Grant(run, asking.Claim(run, now), 1, now); p.Wait == 0 {
			granted++
		}
		if now.UnixMilli()%500 == 0 {
			// The owner's own requests to the run get responses that name no limit.
			owner.Observe(run, Unlimited, now)
		}
	}
	require.LessOrEqual(t, float64(granted), tolerated*3+1)
	require.Equal(t, Fact{Rate: Unlimited, Age: retention}, asking.Claim("other", now))
	require.Equal(t, Unlimited, asking.Claim(run, now).Rate, "the warm-up is over")
	owner.Observe(run, Unlimited, now)
	require.Equal(t, Unlimited, owner.Rate(run))
	p, _ := owner.Grant(run, asking.Claim(run, now), 1, now)
	require.Zero(t, p.Wait)
}

// Guards against a warm-up that hides a lower limit, and against one that outlasts its time.
func TestWarmupAndLimitHoldTogether(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New()
	l.SetWarmup(run, Warmup{Rate: 3, Until: now.Add(2 * time.Second)})
	require.Equal(t, 3.0, l.Bound(run, now))
	require.Equal(t, Unlimited, l.Rate(run), "a cold run names no limit")
	require.Equal(t, Fact{Rate: 3}, l.Claim(run, now))
	l.Observe(run, 1, now)
	require.Equal(t, 1.0, l.Bound(run, now))
	require.Equal(t, 1.0, l.Claim(run, now).Rate)
	l.Observe(run, 8, now)
	require.Equal(t, 3.0, l.Bound(run, now))
	require.Equal(t, 8.0, l.Bound(run, now.Add(2*time.Second)))
	l.HoldWarmup(run, Warmup{Rate: 2, Until: now.Add(time.Second)})
	require.Equal(t, 2.0, l.Bound(run, now))
	l.SetWarmup(run, Warmup{})
	require.Equal(t, 2.0, l.Bound(run, now), "others still know that it is cold")
	require.Equal(t, 8.0, l.Bound(run, now.Add(time.Second)))
}

// Guards against a rate that lets several owners together exceed the bound, and against a
// bound where none is asked.
func TestWarmupRate(t *testing.T) {
	require.Equal(t, 3.5, WarmupRate(3.5, 1.5, 8))
	require.Equal(t, 0.5, WarmupRate(1, 1.5, 0))
	require.Equal(t, Unlimited, WarmupRate(0, 1.5, 8))
	require.Equal(t, Unlimited, WarmupRate(3.5, 0, 0))
}
