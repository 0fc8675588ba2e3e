package limiter

import (
	"fmt"
	"slices"
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

// maxDelay is the longest time from a permit to the arrival of the request.
const maxDelay = 60 * time.Millisecond

// mostInSecond returns the greatest number of requests that arrive in any second.
func (f *fleet) mostInSecond() int {
	var all []time.Time
	for _, at := range f.sent {
		all = append(all, at.Add(time.Duration(f.random.Int63n(int64(maxDelay)))))
	}
	slices.SortFunc(all, time.Time.Compare)
	most, first := 0, 0
	for k, at := range all {
		for at.Sub(all[first]) >= second {
			first++
		}
		most = max(most, k-first+1)
	}
	return most
}

// restart lets an instance forget everything but that the run is cold.
func (f *fleet) restart(k int, w Warmup) {
	f.instances[k].Limiter = New()
	f.instances[k].SetWarmup(run, w, f.now)
}

// randomLayout returns a fleet that is cut into parts at random, by zone, or into single instances.
func (f *fleet) randomLayout() layout {
	n := len(f.instances)
	l := layout{down: map[int]bool{}, part: map[int]int{}}
	parts, stopped := []int{1, 1, 2, 3, n}[f.random.Intn(5)], f.random.Float64()*0.5
	byZone := parts <= 3 && f.random.Intn(2) == 0
	for k := range n {
		l.down[k] = f.random.Float64() < stopped
		l.part[k] = f.random.Intn(parts)
		if byZone {
			l.part[k] = k % parts
		}
	}
	return l
}

// Guards against a cold target that gets more requests in a second than the fleet's bound:
// at several sizes of the fleet, while all instances want to use it, from the first moment on,
// while instances stop, freeze, start with nothing that they counted, while zones are cut off,
// while no instance sees another one, and while the fleet comes together again.
func TestFleetKeepsTheBoundOfAColdTarget(t *testing.T) {
	const layouts = 8
	for n, seeds := range map[int]int64{16: 20, 98: 4, 472: 2} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d instances, seed %d", n, seed), func(t *testing.T) {
				f := newFleet(n, 1000*int64(n)+seed)
				w := Warmup{Rate: WarmupRate(tolerated, overshoot, warmupSlack), Until: f.now.Add(time.Hour)}
				for k := range f.instances {
					f.restart(k, w)
				}
				f.advance(4*time.Second, 300*time.Millisecond)
				require.Greater(t, float64(len(f.sent)), 0.6*tolerated*4, "a cold target is used")
				require.LessOrEqual(t, float64(len(f.sent)), tolerated*4+1, "it gets no more than it tolerates while the fleet is calm")
				for range layouts {
					before := f.layouts[len(f.layouts)-1]
					l := f.randomLayout()
					for k := range n {
						if before.down[k] && !l.down[k] && f.random.Intn(2) == 0 {
							f.restart(k, w)
						}
					}
					f.change(l)
					f.advance(time.Duration(300+f.random.Intn(2500))*time.Millisecond, 300*time.Millisecond)
				}
				f.change(layout{})
				f.advance(2*maxLag, 300*time.Millisecond)
				together := len(f.sent)
				f.advance(3*time.Second, 300*time.Millisecond)
				require.Greater(t, float64(len(f.sent)-together), 0.6*tolerated*3, "it is used when the fleet is together again")
				most := f.mostInSecond()
				t.Log("most in a second", most)
				require.LessOrEqual(t, float64(most), overshoot*tolerated+warmupSlack)
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
	asking.SetWarmup(run, Warmup{Rate: tolerated, Until: now.Add(3 * time.Second)}, now)
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
	l.SetWarmup(run, Warmup{Rate: 3, Until: now.Add(2 * time.Second)}, now)
	require.Equal(t, 3.0, l.Bound(run, now))
	require.Equal(t, Unlimited, l.Rate(run), "a cold run names no limit")
	require.Equal(t, Fact{Rate: 3}, l.Claim(run, now))
	l.Observe(run, 1, now)
	require.Equal(t, 1.0, l.Bound(run, now))
	require.Equal(t, 1.0, l.Claim(run, now).Rate)
	l.Observe(run, 8, now)
	require.Equal(t, 3.0, l.Bound(run, now))
	require.Equal(t, 8.0, l.Bound(run, now.Add(2*time.Second)))
	l.HoldWarmup(run, Warmup{Rate: 2, Until: now.Add(time.Second)}, now)
	require.Equal(t, 2.0, l.Bound(run, now))
	l.SetWarmup(run, Warmup{}, now)
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
