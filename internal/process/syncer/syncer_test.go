package syncer

import (
	"context"
	"fmt"
	"math/rand"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

func peer(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
}

// sim is a zone of instances in virtual time. Instances that are down do nothing;
// those that are cut cannot reach the platform.
type sim struct {
	turns     []*Turn
	down, cut []bool
	next      []time.Time
	// current is when each instance's copy was last known to be current.
	current []time.Time
	calls   int
}

func newSim(n int, random *rand.Rand) *sim {
	s := &sim{down: make([]bool, n), cut: make([]bool, n), next: make([]time.Time, n), current: make([]time.Time, n)}
	for range n {
		s.turns = append(s.turns, &Turn{Random: random.Float64})
	}
	return s
}

func (s *sim) before(i int) []netip.AddrPort {
	var all []netip.AddrPort
	for k := range i {
		all = append(all, peer(k))
	}
	return all
}

// step lets each instance do what is due at a time.
func (s *sim) step(now time.Time) {
	for i, t := range s.turns {
		if s.down[i] || now.Before(s.next[i]) {
			continue
		}
		due, again := t.Due(now, s.before(i))
		if !due {
			s.next[i] = again
			continue
		}
		s.calls++
		if s.cut[i] {
			s.next[i] = now.Add(callTimeout)
			t.Finish(true, len(s.turns), s.next[i])
			continue
		}
		t.Finish(false, len(s.turns), now)
		s.next[i] = now.Add(Wait)
		for k, o := range s.turns {
			if !s.down[k] && k != i {
				o.Vouched(peer(i), now)
				s.current[k] = now
			}
		}
		s.current[i] = now
	}
}

// Whoever is killed or cut off, each live instance hears of a current copy again
// within the time that the drain of a target leaves.
func TestAnotherReadsWithinTwoSeconds(t *testing.T) {
	const bound = 2 * time.Second
	for seed := range int64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewSource(seed))
			s := newSim(2+random.Intn(30), random)
			start := time.Unix(100, 0)
			var disturbed time.Time
			for now := start; now.Sub(start) < 40*time.Second; now = now.Add(10 * time.Millisecond) {
				if random.Intn(300) == 0 {
					i := random.Intn(min(len(s.turns), 4))
					s.down[i] = !s.down[i]
					if s.down[i] {
						disturbed = now
					} else {
						s.next[i], s.current[i], s.turns[i] = now, now, &Turn{Random: random.Float64}
					}
				}
				if random.Intn(300) == 0 {
					s.cut[random.Intn(min(len(s.turns), 4))] = random.Intn(2) == 0
					disturbed = now
				}
				s.step(now)
				reach := false
				for i := range s.turns {
					reach = reach || !s.down[i] && !s.cut[i]
				}
				if !reach {
					disturbed = now
				}
				for i := range s.turns {
					if !s.down[i] && now.Sub(disturbed) > bound && now.Sub(start) > bound {
						require.LessOrEqual(t, now.Sub(s.current[i]), bound, "instance %d at %s", i, now.Sub(start))
					}
				}
			}
		})
	}
}

// An undisturbed zone calls the platform like one instance.
func TestOneReadsWhileNothingIsWrong(t *testing.T) {
	s := newSim(30, rand.New(rand.NewSource(1)))
	start := time.Unix(100, 0)
	for now := start; now.Sub(start) < 30*time.Second; now = now.Add(10 * time.Millisecond) {
		s.step(now)
	}
	require.LessOrEqual(t, s.calls, 30+len(s.turns))
}

func TestFailedCallsAreSpaced(t *testing.T) {
	turn := &Turn{Random: func() float64 { return 0 }}
	now, calls := time.Unix(0, 0), 0
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(time.Millisecond) {
		if due, _ := turn.Due(now, nil); due {
			calls++
			turn.Finish(true, 1, now)
		}
	}
	require.LessOrEqual(t, calls, 25)
	require.GreaterOrEqual(t, calls, 10)
}

// While the platform is out of order, a large zone calls it no more often than a
// small one, and it is current again as soon as the platform is back.
func TestLargeZonesWaitForThePlatform(t *testing.T) {
	for _, n := range []int{6, 30, 300} {
		s := newSim(n, rand.New(rand.NewSource(1)))
		start := time.Unix(100, 0)
		down, back := start.Add(5*time.Second), start.Add(25*time.Second)
		settled, recovered := 0, time.Time{}
		for now := start; now.Before(back.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
			out := !now.Before(down) && now.Before(back)
			for i := range s.cut {
				s.cut[i] = out
			}
			if now.Equal(down.Add(8 * time.Second)) {
				settled = s.calls
			}
			if now.Equal(back) {
				bound := max(crowd/backoffMost.Seconds(), float64(n)/backoffLongest.Seconds())
				require.LessOrEqual(t, float64(s.calls-settled)/12, bound, "calls a second, %d instances", n)
			}
			s.step(now)
			if recovered.IsZero() && now.After(back) && s.current[n-1].After(back) {
				recovered = now
			}
		}
		require.Less(t, recovered.Sub(back), time.Second, "%d instances", n)
	}
}

// Hundreds of targets that start one after the other cost a few calls a second, and
// a single change is told as fast as ever.
func TestSeriesOfNewsAreGathered(t *testing.T) {
	gather, calls := time.Duration(0), 0
	for spent := time.Duration(0); spent < 8*time.Second; spent += max(gather, time.Millisecond) {
		gather = nextGather(gather, time.Millisecond)
		calls++
	}
	require.LessOrEqual(t, calls, 22)
	gather = nextGather(gather, Wait)
	require.Zero(t, gather)
	require.LessOrEqual(t, nextGather(gather, time.Millisecond), 100*time.Millisecond)
}

// After a power failure clients wait at the door: what the first call brings counts
// at once, and only the next call waits.
func TestFirstReadCountsAtOnce(t *testing.T) {
	vouched := 0
	s := &Syncer{
		Refresh:       func(context.Context) error { return nil },
		InstanceCount: func() int { return 1 },
		Confirm:       func(time.Time) { vouched++ },
		Logger:        log.NewNopLogger(),
	}
	s.Prepare()
	pause := s.round(time.Now())
	require.False(t, s.CurrentAsOf().IsZero())
	require.Equal(t, 1, vouched)
	require.Positive(t, pause)
}

// After a start of all, an instance that has read waits for one that comes before it,
// as after a vouching; alone it reads on, and later its first read says nothing.
func TestFirstReadCountsLikeAVouching(t *testing.T) {
	start := time.Unix(100, 0)
	due := func(others int, after time.Duration) bool {
		turn := &Turn{Random: func() float64 { return 0 }}
		turn.Finish(false, others+1, start)
		var before []netip.AddrPort
		for i := range others {
			before = append(before, peer(i))
		}
		is, _ := turn.Due(start.Add(after), before)
		return is
	}
	require.True(t, due(0, joining))
	require.False(t, due(3, joining))
	require.True(t, due(3, patience+3*step))
	require.Less(t, joining+callTimeout/4, patience+stepMost, "current within the same time as after a vouching")
}
