package placer

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fixture is a placer in zone a with local targets a0, a1, ... and with targets b0,
// b1, ... in remote zone b.
type fixture struct {
	*Placer
	now time.Time
	t   *testing.T
}

func newFixture(t *testing.T, local, remote int) *fixture {
	random := rand.New(rand.NewSource(1))
	f := &fixture{now: time.Unix(1000, 0), t: t}
	f.Placer = New("a", random.Float64, func(n int, _ time.Time) int { return n })
	var targets []Target
	for k := range local {
		targets = append(targets, Target{ID: fmt.Sprintf("a%d", k), Zone: "a", Slots: 2})
	}
	for k := range remote {
		targets = append(targets, Target{ID: fmt.Sprintf("b%d", k), Zone: "b", Slots: 2})
	}
	f.SetTargets(targets)
	return f
}

func (f *fixture) advance(d time.Duration) *fixture {
	f.now = f.now.Add(d)
	return f
}

func (f *fixture) ticket() *Ticket {
	return &Ticket{
		Kind: "lookup", Priority: 1, Arrived: f.now, ObjectiveTime: f.now.Add(400 * time.Millisecond),
		Deadline: f.now.Add(time.Second), LatencyObjective: 400 * time.Millisecond,
	}
}

func (f *fixture) submit(t *Ticket) Actions {
	f.Submit(t)
	return f.Step(f.now)
}

// report records a load report of a target.
func (f *fixture) report(id string, running int, slowdown float64) {
	f.Report(id, Load{Running: running, Slots: 2, Slowdown: slowdown}, f.now, f.now)
}

func (f *fixture) grantedTarget(a Actions) string {
	f.t.Helper()
	require.Len(f.t, a.Grants, 1)
	return a.Grants[0].Target.ID
}

// Guards against a choice by old reports: targets change their speed many times a
// second.
func TestChoosesTargetByFreshReports(t *testing.T) {
	f := newFixture(t, 4, 4)
	a := f.submit(f.ticket())
	require.Empty(t, a.Grants)
	require.Len(t, a.Probes, 4, "only local targets are probed at first")
	f.report("a0", 0, 5)
	f.report("a1", 1, 1)
	require.Empty(t, f.Step(f.now).Grants, "a report of a faster target may arrive")
	f.report("a2", 0, 1)
	require.Equal(t, "a2", f.grantedTarget(f.Step(f.now)), "a target within immediateSlowdown is taken at once")
}

// Guards against a choice that ignores free slots or keeps waiting after
// the last report.
func TestTakesBestTargetAfterAllReports(t *testing.T) {
	f := newFixture(t, 3, 0)
	f.submit(f.ticket())
	f.report("a0", 0, 5)
	f.report("a1", 1, 1)
	f.report("a2", 2, 1)
	require.Equal(t, "a1", f.grantedTarget(f.Step(f.now)))
}

// Guards against starting a request on a slow local target at once: it waits for a
// short time, then the targets of remote zones are probed.
func TestWaitsWhileLocalTargetsAreSlowThenProbesRemoteZones(t *testing.T) {
	f := newFixture(t, 3, 3)
	f.submit(f.ticket())
	probedRemote := false
	for range 8 {
		for k := range 3 {
			f.report(fmt.Sprintf("a%d", k), 0, 5)
		}
		a := f.advance(probeInterval).Step(f.now)
		require.Empty(t, a.Grants)
		for _, p := range a.Probes {
			probedRemote = probedRemote || p.Zone == "b"
		}
	}
	require.True(t, probedRemote)
	f.report("b1", 0, 1)
	a := f.Step(f.now)
	require.Equal(t, "b1", f.grantedTarget(a))
	require.True(t, a.Grants[0].Remote)
}

// Guards against starting a request on a target that misses its objective while a
// faster one may report in time. A request past its objective must start, but only on
// a target up to maxSlowdownPastObjective.
func TestRequestPastObjectiveAvoidsSlowTargets(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.submit(f.ticket())
	f.advance(100*time.Millisecond).report("a0", 1, 1.4)
	require.Empty(t, f.Step(f.now).Grants)
	f.advance(200*time.Millisecond).report("a0", 0, 5)
	require.Empty(t, f.Step(f.now).Grants, "a slow target would hold the slot for long")
	f.advance(50*time.Millisecond).report("a0", 0, 1.5)
	a := f.Step(f.now)
	require.Equal(t, "a0", f.grantedTarget(a))
	require.True(t, a.Grants[0].MissesObjective)
}

// Guards against a wrong order of waiting requests: requests that can meet their
// objective start first, the most urgent of them before the others.
func TestOrderByObjectiveThenPriority(t *testing.T) {
	f := newFixture(t, 1, 0)
	pastObjective := f.ticket()
	f.submit(pastObjective)
	f.advance(300 * time.Millisecond)
	lessUrgent, urgent := f.ticket(), f.ticket()
	lessUrgent.Priority, urgent.Priority = 2, 0
	f.Submit(lessUrgent)
	f.Submit(urgent)
	f.report("a0", 1, 1)
	require.Empty(t, f.Step(f.now).Grants, "the urgent request awaits a round of probes, and no other request takes the slot")
	f.report("a0", 1, 1)
	a := f.Step(f.now)
	require.Len(t, a.Grants, 1, "one slot is free")
	require.Same(t, urgent, a.Grants[0].Ticket)
}

// Guards against urgent requests that keep arriving and starve the others.
func TestLessUrgentAreNotStarved(t *testing.T) {
	f := newFixture(t, 1, 0)
	lessUrgent := f.ticket()
	lessUrgent.Priority = 2
	lessUrgent.ObjectiveTime, lessUrgent.Deadline, lessUrgent.LatencyObjective = f.now.Add(4*time.Second), f.now.Add(8*time.Second), 4*time.Second
	f.submit(lessUrgent)
	for range 100 {
		urgent := f.ticket()
		urgent.Priority = 0
		f.Submit(urgent)
		f.report("a0", 1, 1)
		for _, g := range f.Step(f.now).Grants {
			if g.Ticket == lessUrgent {
				return
			}
			f.End("a0", g.Ticket, Served, f.now)
		}
		f.advance(60 * time.Millisecond)
	}
	t.Fatal("the less urgent request did not start within 6 s")
}

// Guards against requests that wait although no target can serve them in time.
func TestRejectsRequestsThatCannotBeServed(t *testing.T) {
	f := newFixture(t, 2, 0)
	expiring := f.ticket()
	expiring.Deadline = f.now.Add(20 * time.Millisecond)
	a := f.submit(expiring)
	require.Len(t, a.Rejections, 1)
	require.Equal(t, DeadlineUnreachable, a.Rejections[0].Reason)
	require.Positive(t, a.Rejections[0].RetryAfter)

	f.SetTargets(nil)
	a = f.submit(f.ticket())
	require.Len(t, a.Rejections, 1)
	require.Equal(t, NoTarget, a.Rejections[0].Reason)
}

// Guards against rejected clients that all retry at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	f := newFixture(t, 0, 0)
	seen := map[time.Duration]bool{}
	for range 50 {
		a := f.submit(f.ticket())
		seen[a.Rejections[0].RetryAfter.Round(time.Millisecond)] = true
	}
	require.Greater(t, len(seen), 20)
}

// Guards against requests to a target that keeps failing, against a service that
// stops because most targets fail, and against a target that is avoided forever.
func TestFailingTargetIsAvoidedUnlessMostFail(t *testing.T) {
	f := newFixture(t, 3, 0)
	fail := func(id string) {
		ticket := f.ticket()
		f.targets[id].running[ticket] = f.now
		f.End(id, ticket, Failed, f.now)
	}
	fail("a0")
	fail("a0")
	for range 20 {
		f.reportAll(3)
		a := f.submit(f.ticket())
		require.NotEqual(t, "a0", f.grantedTarget(a))
		f.advance(10 * time.Millisecond)
		f.End(a.Grants[0].Target.ID, a.Grants[0].Ticket, Served, f.now)
	}
	for _, id := range []string{"a1", "a2"} {
		fail(id)
		fail(id)
		fail(id)
	}
	f.reportAll(3)
	a := f.submit(f.ticket())
	f.End(f.grantedTarget(a), a.Grants[0].Ticket, Canceled, f.now)

	// The avoided target gets requests again within maxAvoidTime.
	f.advance(maxAvoidTime)
	used := map[string]bool{}
	for range 50 {
		f.reportAll(3)
		a := f.submit(f.ticket())
		used[f.grantedTarget(a)] = true
		f.advance(10 * time.Millisecond)
		f.End(a.Grants[0].Target.ID, a.Grants[0].Ticket, Served, f.now)
	}
	require.True(t, used["a0"])
}

func (f *fixture) reportAll(n int) {
	for k := range n {
		f.report(fmt.Sprintf("a%d", k), 0, 1)
	}
}

// Guards against a non-idempotent request that goes to a target with a recent failure
// and might fail there too. A non-idempotent request whose outcome is unknown cannot be
// retried.
func TestNonIdempotentRequestAvoidsFailedTarget(t *testing.T) {
	f := newFixture(t, 4, 0)
	ticket := f.ticket()
	f.targets["a0"].running[ticket] = f.now
	f.End("a0", ticket, NoCompleteResponse, f.now)
	for range 30 {
		f.reportAll(4)
		nonIdempotent := f.ticket()
		nonIdempotent.NonIdempotent = true
		a := f.submit(nonIdempotent)
		require.NotEqual(t, "a0", f.grantedTarget(a))
		f.End(a.Grants[0].Target.ID, nonIdempotent, Served, f.now)
	}
}

// Guards against a hedge that waits for a slot or goes to the target of the first
// attempt.
func TestHedgeTakesFreeSlotOrIsRejected(t *testing.T) {
	f := newFixture(t, 2, 0)
	hedge := f.ticket()
	hedge.Hedge, hedge.Avoid = true, []string{"a0"}
	f.submit(hedge)
	f.report("a1", 2, 1)
	a := f.Step(f.now)
	require.Len(t, a.Rejections, 1)
	require.Equal(t, NoFreeSlot, a.Rejections[0].Reason)

	second := f.advance(time.Second).ticket()
	second.Hedge, second.Avoid = true, []string{"a0"}
	f.submit(second)
	f.report("a1", 0, 1)
	require.Equal(t, "a1", f.grantedTarget(f.Step(f.now)))
}

// Guards against too many requests at a target: this instance's requests that a
// report does not include yet count too.
func TestOwnRequestsCountBesideTheReport(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.report("a0", 0, 1)
	f.grantedTarget(f.submit(f.ticket()))
	f.submit(f.ticket())
	f.report("a0", 0, 1)
	f.grantedTarget(f.Step(f.now))
	require.Empty(t, f.submit(f.ticket()).Grants, "both slots are taken")
	f.advance(time.Millisecond).report("a0", 2, 1)
	require.Empty(t, f.Step(f.now).Grants)
}

// Guards against a service that stops because the health endpoints of its targets
// report no load or do not respond.
func TestServesWithoutReports(t *testing.T) {
	f := newFixture(t, 2, 0)
	f.submit(f.ticket())
	f.AnsweredWithoutLoad("a0")
	f.AnsweredWithoutLoad("a1")
	f.grantedTarget(f.Step(f.now))

	unresponsive := newFixture(t, 2, 0)
	unresponsive.submit(unresponsive.ticket())
	for range 8 {
		unresponsive.ProbeFailed("a0", unresponsive.now)
		unresponsive.ProbeFailed("a1", unresponsive.now)
		if a := unresponsive.advance(probeInterval + probeTimeout).Step(unresponsive.now); len(a.Grants) == 1 {
			return
		}
	}
	t.Fatal("no request started while all probes failed")
}

// Guards against a new target that gets too few requests. It starts with the mean own
// slowdown of the known targets, so that it counts as equal to them.
func TestJoinedTargetGetsItsShare(t *testing.T) {
	f := newFixture(t, 2, 0)
	for range 200 {
		f.reportAll(2)
		a := f.submit(f.ticket())
		id := f.grantedTarget(a)
		f.advance(time.Duration(100+20*rand.New(rand.NewSource(1)).Intn(3)) * time.Millisecond)
		f.End(id, a.Grants[0].Ticket, Served, f.now)
	}
	f.SetTargets([]Target{{ID: "a0", Zone: "a", Slots: 2}, {ID: "a1", Zone: "a", Slots: 2}, {ID: "a2", Zone: "a", Slots: 2}})
	granted := 0
	for range 60 {
		f.reportAll(3)
		a := f.submit(f.ticket())
		if f.grantedTarget(a) == "a2" {
			granted++
		}
		f.advance(160 * time.Millisecond)
		f.End(a.Grants[0].Target.ID, a.Grants[0].Ticket, Served, f.now)
	}
	require.Greater(t, granted, 8)
}

// Guards against a request that ends twice or never, with random probes, failures
// and hedges.
func TestEachTicketEndsOnce(t *testing.T) {
	for seed := range int64(50) {
		random := rand.New(rand.NewSource(seed))
		f := newFixture(t, 3, 3)
		f.AllowProbes = func(n int, _ time.Time) int { return random.Intn(n + 1) }
		ended := map[*Ticket]int{}
		var submitted []*Ticket
		var running []Grant
		apply := func(a Actions) {
			for _, g := range a.Grants {
				ended[g.Ticket]++
				running = append(running, g)
			}
			for _, r := range a.Rejections {
				ended[r.Ticket]++
			}
			for _, p := range a.Probes {
				switch random.Intn(4) {
				case 0:
					f.ProbeFailed(p.ID, f.now)
				default:
					f.report(p.ID, random.Intn(3), 1+4*float64(random.Intn(2)))
				}
			}
		}
		for range 400 {
			f.advance(time.Duration(random.Intn(20)) * time.Millisecond)
			if random.Intn(2) == 0 {
				ticket := f.ticket()
				ticket.Hedge, ticket.NonIdempotent = random.Intn(8) == 0, random.Intn(3) == 0
				submitted = append(submitted, ticket)
				f.Submit(ticket)
			}
			if len(running) > 0 && random.Intn(3) == 0 {
				g := running[0]
				running = running[1:]
				f.End(g.Target.ID, g.Ticket, Ending(random.Intn(5)), f.now)
			}
			apply(f.Step(f.now))
		}
		for f.Waiting() > 0 {
			apply(f.advance(probeInterval).Step(f.now))
		}
		for _, ticket := range submitted {
			require.Equal(t, 1, ended[ticket], "seed %d", seed)
		}
	}
}

// Guards against probes that open many connections. An instance of a large fleet gets
// few requests per second, so it mostly probes targets that it has connections to,
// but must still find all targets.
func TestProbesFewTargetsOfLargeFleet(t *testing.T) {
	f := newFixture(t, 60, 0)
	probed := map[string]time.Time{}
	newConnections, probes := 0, 0
	for range 300 {
		a := f.submit(f.ticket())
		require.GreaterOrEqual(t, len(a.Probes), minFanout)
		require.LessOrEqual(t, len(a.Probes), localFanout)
		for _, p := range a.Probes {
			if f.now.Sub(probed[p.ID]) > openConnectionAge {
				newConnections++
			}
			probes++
			probed[p.ID] = f.now
			f.report(p.ID, 0, 1)
		}
		g := f.Step(f.now).Grants[0]
		f.advance(160*time.Millisecond).End(g.Target.ID, g.Ticket, Served, f.now)
		f.advance(200 * time.Millisecond)
	}
	require.Less(t, 10*newConnections, 2*probes, "want less than 20 %% of %d probes to need a new connection", probes)
	require.Len(t, probed, 60, "every target must be probed at some time")
}

// Guards against a load report whose sums and products exceed their types: a request that the
// target ran seemed to have been dropped, and the time that one would take was negative.
func TestAbsurdLoadReportsAttractNoRequests(t *testing.T) {
	for name, l := range map[string]Load{
		"requests": {Running: math.MaxInt, Waiting: math.MaxInt, Slots: 2, Slowdown: 1},
		"all":      {Running: math.MaxInt, Waiting: math.MaxInt, Slots: math.MaxInt, Slowdown: math.MaxFloat64},
		"slowdown": {Slots: 2, Slowdown: math.MaxFloat64},
		"no sense": {Slots: 2, Slowdown: math.NaN()},
	} {
		f := newFixture(t, 2, 0)
		f.Report("a0", l, f.now, f.now)
		f.Report("a1", Load{Running: 1, Slots: 8, Slowdown: 1}, f.now, f.now)
		require.Equal(t, "a1", f.grantedTarget(f.submit(f.ticket())), name)
		f = newFixture(t, 1, 0)
		held := f.place("a0", 0, false)
		f.advance(time.Second).Report("a0", l, f.now, f.now)
		require.Equal(t, l.Running == 0, f.RecordDropped("a0", held, f.now), name)
		require.Positive(t, f.targets["a0"].slowdown(f.now)*float64(time.Hour), name)
		require.Less(t, f.targets["a0"].slowdown(f.now)*float64(24*time.Hour), float64(math.MaxInt64), name)
	}
}
