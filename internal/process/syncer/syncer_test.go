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

// simulation is a zone of instances in simulated time. Instances that are down do
// nothing; instances that are cut off cannot reach the platform.
type simulation struct {
	schedules    []*Schedule
	down, cutOff []bool
	nextStep     []time.Time
	// currentAsOf is the latest time at which each instance's copy was current.
	currentAsOf []time.Time
	calls       int
}

func newSimulation(n int, random *rand.Rand) *simulation {
	s := &simulation{down: make([]bool, n), cutOff: make([]bool, n), nextStep: make([]time.Time, n), currentAsOf: make([]time.Time, n)}
	for range n {
		s.schedules = append(s.schedules, &Schedule{Random: random.Float64})
	}
	return s
}

func (s *simulation) predecessors(i int) []netip.AddrPort {
	var all []netip.AddrPort
	for k := range i {
		all = append(all, peer(k))
	}
	return all
}

// step lets each instance do what is due at now.
func (s *simulation) step(now time.Time) {
	for i, schedule := range s.schedules {
		if s.down[i] || now.Before(s.nextStep[i]) {
			continue
		}
		due, next := schedule.Due(now, s.predecessors(i))
		if !due {
			s.nextStep[i] = next
			continue
		}
		s.calls++
		if s.cutOff[i] {
			s.nextStep[i] = now.Add(callTimeout)
			schedule.RecordResult(true, len(s.schedules), s.nextStep[i])
			continue
		}
		schedule.RecordResult(false, len(s.schedules), now)
		s.nextStep[i] = now.Add(LongPollWait)
		for k, other := range s.schedules {
			if !s.down[k] && k != i {
				other.RecordConfirmation(peer(i), now)
				s.currentAsOf[k] = now
			}
		}
		s.currentAsOf[i] = now
	}
}

// The reader of a zone is killed or cut off from the platform. Another instance must
// take over in time: an instance whose copy is older than the two seconds for which a
// target drains would send requests to targets that have ended.
func TestReaderIsReplacedWithinTwoSeconds(t *testing.T) {
	const bound = 2 * time.Second
	for seed := range int64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewSource(seed))
			s := newSimulation(2+random.Intn(30), random)
			start := time.Unix(100, 0)
			var lastDisturbance time.Time
			for now := start; now.Sub(start) < 40*time.Second; now = now.Add(10 * time.Millisecond) {
				if random.Intn(300) == 0 {
					i := random.Intn(min(len(s.schedules), 4))
					s.down[i] = !s.down[i]
					if s.down[i] {
						lastDisturbance = now
					} else {
						s.nextStep[i], s.currentAsOf[i], s.schedules[i] = now, now, &Schedule{Random: random.Float64}
					}
				}
				if random.Intn(300) == 0 {
					s.cutOff[random.Intn(min(len(s.schedules), 4))] = random.Intn(2) == 0
					lastDisturbance = now
				}
				s.step(now)
				reachable := false
				for i := range s.schedules {
					reachable = reachable || !s.down[i] && !s.cutOff[i]
				}
				if !reachable {
					lastDisturbance = now
				}
				for i := range s.schedules {
					if !s.down[i] && now.Sub(lastDisturbance) > bound && now.Sub(start) > bound {
						require.LessOrEqual(t, now.Sub(s.currentAsOf[i]), bound, "instance %d at %s", i, now.Sub(start))
					}
				}
			}
		})
	}
}

// In an undisturbed zone only one instance may call the platform, however many
// instances the zone has.
func TestUndisturbedZoneHasOneReader(t *testing.T) {
	// Each instance reads once at the start. Then the reader makes one call per second.
	s := newSimulation(30, rand.New(rand.NewSource(1)))
	start := time.Unix(100, 0)
	for now := start; now.Sub(start) < 30*time.Second; now = now.Add(10 * time.Millisecond) {
		s.step(now)
	}
	require.LessOrEqual(t, s.calls, 30+len(s.schedules))
}

// An instance that retries failed calls without delay would flood a faulty platform;
// one that waits too long would notice its return late.
func TestFailedCallsBackOff(t *testing.T) {
	schedule := &Schedule{Random: func() float64 { return 0 }}
	now, calls := time.Unix(0, 0), 0
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(time.Millisecond) {
		if due, _ := schedule.Due(now, nil); due {
			calls++
			schedule.RecordResult(true, 1, now)
		}
	}
	// At 0.75*maxBackoff per call, 10 s allow about 20 calls.
	require.LessOrEqual(t, calls, 25)
	require.GreaterOrEqual(t, calls, 10)
}

// While the platform fails, every instance calls it, because none receives a
// confirmation. A large zone must call it no more often than a small one, and its
// copies must be current again within a second of the platform's return.
func TestLargeZonesBackOffLonger(t *testing.T) {
	for _, n := range []int{6, 30, 300} {
		s := newSimulation(n, rand.New(rand.NewSource(1)))
		start := time.Unix(100, 0)
		failure, recovery := start.Add(5*time.Second), start.Add(25*time.Second)
		settledCalls, recovered := 0, time.Time{}
		for now := start; now.Before(recovery.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
			failing := !now.Before(failure) && now.Before(recovery)
			for i := range s.cutOff {
				s.cutOff[i] = failing
			}
			if now.Equal(failure.Add(8 * time.Second)) {
				settledCalls = s.calls
			}
			if now.Equal(recovery) {
				bound := max(smallZoneSize/maxBackoff.Seconds(), float64(n)/maxZoneBackoff.Seconds())
				require.LessOrEqual(t, float64(s.calls-settledCalls)/12, bound, "calls per second with %d instances", n)
			}
			s.step(now)
			if recovered.IsZero() && now.After(recovery) && s.currentAsOf[n-1].After(recovery) {
				recovered = now
			}
		}
		require.Less(t, recovered.Sub(recovery), time.Second, "%d instances", n)
	}
}

// The platform pauses for two seconds, so that all instances of a zone miss the
// confirmations of its reader. A large zone that then calls at once would bring hundreds
// of calls down on a platform in trouble. Within the pause and the second after it, a
// zone of any size may make as many calls as a small zone, one for each turn.
func TestPauseOfThePlatformCausesFewCalls(t *testing.T) {
	for _, n := range []int{6, 94, 300} {
		s := newSimulation(n, rand.New(rand.NewSource(1)))
		start := time.Unix(100, 0)
		pause, back := start.Add(5*time.Second), start.Add(7*time.Second)
		before := 0
		for now := start; now.Before(back.Add(time.Second)); now = now.Add(10 * time.Millisecond) {
			for i := range s.cutOff {
				s.cutOff[i] = !now.Before(pause) && now.Before(back)
			}
			if now.Equal(pause) {
				before = s.calls
			}
			s.step(now)
		}
		// Each of the first smallZoneSize instances makes up to four calls, each later one
		// two from its turn on.
		require.LessOrEqual(t, s.calls-before, 4*smallZoneSize+2*int(3*time.Second/turnInterval), "%d instances", n)
		require.Less(t, back.Add(time.Second).Sub(s.currentAsOf[n-1]), 2*time.Second, "%d instances", n)
	}
}

// When hundreds of targets start one after the other, each call would return only one
// change. The calls must be spaced out to a few per second, and a single change must
// still be read at once.
func TestSeriesOfChangesIsBatched(t *testing.T) {
	interval, calls := time.Duration(0), 0
	for elapsed := time.Duration(0); elapsed < 8*time.Second; elapsed += max(interval, time.Millisecond) {
		interval = nextCallInterval(interval, time.Millisecond)
		calls++
	}
	// At maxCallInterval per call, 8 s allow 20 calls. The first two intervals are shorter
	// and allow two more.
	require.LessOrEqual(t, calls, 22)
	interval = nextCallInterval(interval, LongPollWait)
	require.Zero(t, interval)
	require.LessOrEqual(t, nextCallInterval(interval, time.Millisecond), 100*time.Millisecond)
}

// After a power failure clients already wait for a starting instance. The result of
// the first call must take effect at once; only the next call is delayed.
func TestFirstReadTakesEffectAtOnce(t *testing.T) {
	confirmations := 0
	s := &Syncer{
		Refresh:       func(context.Context) error { return nil },
		InstanceCount: func() int { return 1 },
		Confirm:       func(time.Time) { confirmations++ },
		Logger:        log.NewNopLogger(),
	}
	s.Prepare()
	pause := s.readOnce(time.Now())
	require.False(t, s.CurrentAsOf().IsZero())
	require.Equal(t, 1, confirmations)
	require.Positive(t, pause)
}

// When all instances of a zone start at once, each one reads, since it has received no
// confirmation yet. An instance with predecessors must then wait for them, as after
// a confirmation; an instance without predecessors reads on. After confirmationTimeout
// plus the rank delay the instance must read again.
func TestFirstReadCountsAsConfirmation(t *testing.T) {
	start := time.Unix(100, 0)
	due := func(predecessorCount int, after time.Duration) bool {
		schedule := &Schedule{Random: func() float64 { return 0 }}
		schedule.RecordResult(false, predecessorCount+1, start)
		var predecessors []netip.AddrPort
		for i := range predecessorCount {
			predecessors = append(predecessors, peer(i))
		}
		isDue, _ := schedule.Due(start.Add(after), predecessors)
		return isDue
	}
	require.True(t, due(0, joinDelay))
	require.False(t, due(3, joinDelay))
	require.True(t, due(3, confirmationTimeout+3*rankDelay))
	// callTimeout/4 stands for the duration of a call that returns at once.
	require.Less(t, joinDelay+callTimeout/4, confirmationTimeout+maxRankDelay, "the pause after the first read must not leave a copy older than a missing confirmation would")
}

// Hundreds of instances that start for the first time would each pay for a complete read.
// Their first call must be a listing, any later call must bring the copy up to date.
func TestFirstStartOnlyLists(t *testing.T) {
	for firstStart, want := range map[bool][]string{true: {"list", "await", "refresh"}, false: {"refresh", "await", "refresh"}} {
		var calls []string
		call := func(name string) func(context.Context) error {
			return func(context.Context) error { calls = append(calls, name); return nil }
		}
		s := &Syncer{
			FirstStart: firstStart, Refresh: call("refresh"), List: call("list"),
			Await:         func(context.Context, time.Duration) error { calls = append(calls, "await"); return nil },
			InstanceCount: func() int { return 1 },
			Confirm:       func(time.Time) {},
			Logger:        log.NewNopLogger(),
		}
		s.Prepare()
		now := time.Now()
		s.readOnce(now)
		s.readOnce(now.Add(joinDelay))
		s.readOnce(now.Add(joinDelay + 2*maxIncrementalAge))
		require.Equal(t, want, calls, "first start: %t", firstStart)
	}
}
