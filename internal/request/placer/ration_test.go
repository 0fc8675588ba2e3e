package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/request/rationer"
)

// burst returns a rate that is higher between two moments.
func burst(rate, high float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return rate
	}
}

// urgentOrder and read are kinds that share a service.
func urgentOrder(rate func(time.Duration) float64) *replayKind {
	return &replayKind{
		name: "order", priority: 0, work: 71 * time.Millisecond, objective: 250 * time.Millisecond, deadline: 2 * time.Second, timeout: time.Second,
		nonIdempotent: true, rate: rate,
	}
}

func read(rate func(time.Duration) float64) *replayKind {
	return &replayKind{
		name: "read", priority: 2, work: 100 * time.Millisecond, objective: 300 * time.Millisecond,
		deadline: 3 * time.Second, timeout: 1500 * time.Millisecond, rate: rate,
	}
}

// Replays an urgent kind among four times as many reads, all at 2.5 times their usual rate
// for five seconds, at 14 instances. Guards against slots that go to whichever instance
// probes a target first: 0.81 of the urgent requests then meet their objective.
func TestUrgentKindKeepsItsRoomInTheWholeFleet(t *testing.T) {
	order, read := urgentOrder(burst(40, 100, 2*time.Second, 7*time.Second)), read(burst(152, 380, 2*time.Second, 7*time.Second))
	newReplay(14, 35, order, read).run(10 * time.Second)
	require.Greater(t, order.share(), 0.9, "urgent requests that meet their objective")
	require.Greater(t, read.share(), 0.5, "the others do not pay for it")
	require.Greater(t, order.servedShare(), read.servedShare(), "no inversion")
	require.Zero(t, order.lost+read.lost, "no request is sent to a target that cannot queue it")
}

// Replays two seconds of twice the load that the targets can carry, then a load just below
// it, at 35 instances. Guards against a backlog of requests that are late anyway and make
// all that follow late: 0.39 of the requests then meet their objective.
func TestLateRequestsLeaveTheirRoomToFreshOnes(t *testing.T) {
	lookup := &replayKind{
		name: "lookup", work: 160 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 5 * time.Second, timeout: 2500 * time.Millisecond,
		rate: burst(180, 350, 2*time.Second, 4*time.Second),
	}
	newReplay(35, 35, lookup).run(12 * time.Second)
	require.Greater(t, lookup.share(), 0.5, "requests that meet their objective")
	require.Greater(t, lookup.servedShare(), 0.8, "late requests get what is left")
}

// Guards against a service with room whose less urgent requests leave slots idle.
func TestRequestsMayTakeEachFreeSlotWhileThereIsRoom(t *testing.T) {
	f := newFixture(t, 1, 0)
	urgent := f.ticket()
	urgent.Kind, urgent.Priority = "order", 0
	f.submit(urgent)
	f.report("a0", 0, 1)
	f.Step(f.now)
	f.advance(time.Millisecond).submit(f.ticket())
	f.report("a0", 1, 1)
	a := f.Step(f.now)
	require.Equal(t, "a0", f.grantedTarget(a))
	require.Empty(t, a.Deferrals)
}

// Guards against a late request that takes the last free slot of a target, and against one
// that is counted again in each step.
func TestLateRequestLeavesTheLastSlot(t *testing.T) {
	f := newFixture(t, 2, 0)
	f.submit(f.ticket())
	f.advance(350*time.Millisecond).report("a0", 1, 1)
	a := f.Step(f.now)
	require.Empty(t, a.Grants)
	require.Len(t, a.Deferrals, 1)
	require.Equal(t, rationer.Late, a.Deferrals[0].Cause)
	f.report("a0", 1, 1)
	require.Empty(t, f.Step(f.now).Deferrals)
	f.report("a1", 0, 1)
	require.Equal(t, "a1", f.grantedTarget(f.Step(f.now)))
}
