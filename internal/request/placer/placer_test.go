package placer

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fixture is a placer in zone a with targets a0, a1, ... in its own zone and b0,
// b1, ... in remote zone b.
type fixture struct {
	*Placer
	now time.Time
	t   *testing.T
}

func newFixture(t *testing.T, local, remote int) *fixture {
	random := rand.New(rand.NewSource(1))
	s := &fixture{now: time.Unix(1000, 0), t: t}
	s.Placer = New("a", random.Float64, func(n int, _ time.Time) int { return n })
	var targets []Target
	for k := range local {
		targets = append(targets, Target{ID: fmt.Sprintf("a%d", k), Zone: "a", Slots: 2})
	}
	for k := range remote {
		targets = append(targets, Target{ID: fmt.Sprintf("b%d", k), Zone: "b", Slots: 2})
	}
	s.SetTargets(targets)
	return s
}

func (s *fixture) advance(d time.Duration) *fixture {
	s.now = s.now.Add(d)
	return s
}

func (s *fixture) ticket() *Ticket {
	return &Ticket{
		Kind: "lookup", Priority: 1, Arrived: s.now, ObjectiveTime: s.now.Add(400 * time.Millisecond),
		Deadline: s.now.Add(time.Second), LatencyObjective: 400 * time.Millisecond,
	}
}

func (s *fixture) submit(t *Ticket) Actions {
	s.Submit(t)
	return s.Step(s.now)
}

// report records a load report of a target.
func (s *fixture) report(id string, running int, slowdown float64) {
	s.Report(id, Load{Running: running, Slots: 2, Slowdown: slowdown}, s.now, s.now)
}

func (s *fixture) grantedTarget(a Actions) string {
	s.t.Helper()
	require.Len(s.t, a.Grants, 1)
	return a.Grants[0].Target.ID
}

// Guards against a choice by old reports: targets change their speed many times a
// second.
func TestChoosesTargetByFreshReports(t *testing.T) {
	s := newFixture(t, 4, 4)
	a := s.submit(s.ticket())
	require.Empty(t, a.Grants)
	require.Len(t, a.Probes, 4, "only targets of the own zone are probed at first")
	s.report("a0", 0, 5)
	s.report("a1", 1, 1)
	require.Empty(t, s.Step(s.now).Grants, "a report of a faster target may arrive")
	s.report("a2", 0, 1)
	require.Equal(t, "a2", s.grantedTarget(s.Step(s.now)), "a target within immediateSlowdown is taken at once")
}

// Guards against a choice that ignores free slots or keeps waiting after
// the last report.
func TestTakesBestTargetAfterAllReports(t *testing.T) {
	s := newFixture(t, 3, 0)
	s.submit(s.ticket())
	s.report("a0", 0, 5)
	s.report("a1", 1, 1)
	s.report("a2", 2, 1)
	require.Equal(t, "a1", s.grantedTarget(s.Step(s.now)))
}

// Guards against a slow start while all targets of the own zone are slow: a request
// waits for a short time instead, and then remote zones are searched.
func TestWaitsWhileLocalTargetsAreSlowThenProbesRemoteZones(t *testing.T) {
	s := newFixture(t, 3, 3)
	s.submit(s.ticket())
	probedRemote := false
	for range 8 {
		for k := range 3 {
			s.report(fmt.Sprintf("a%d", k), 0, 5)
		}
		a := s.advance(probeInterval).Step(s.now)
		require.Empty(t, a.Grants)
		for _, p := range a.Probes {
			probedRemote = probedRemote || p.Zone == "b"
		}
	}
	require.True(t, probedRemote)
	s.report("b1", 0, 1)
	a := s.Step(s.now)
	require.Equal(t, "b1", s.grantedTarget(a))
	require.True(t, a.Grants[0].Remote)
}

// Guards against two faults: a request that starts on a target where it would miss
// its objective while waiting can still help, and a request past its objective that
// holds a slot of a slow target.
func TestRequestPastObjectiveAvoidsSlowTargets(t *testing.T) {
	s := newFixture(t, 1, 0)
	s.submit(s.ticket())
	s.advance(100*time.Millisecond).report("a0", 1, 1.4)
	require.Empty(t, s.Step(s.now).Grants)
	s.advance(200*time.Millisecond).report("a0", 0, 5)
	require.Empty(t, s.Step(s.now).Grants, "a slow target would hold the slot for long")
	s.advance(50*time.Millisecond).report("a0", 0, 1.5)
	a := s.Step(s.now)
	require.Equal(t, "a0", s.grantedTarget(a))
	require.True(t, a.Grants[0].MissesObjective)
}

// Guards against a wrong order of waiting requests: requests that can meet their
// objective start first, the most urgent of them before the others.
func TestOrderByObjectiveThenPriority(t *testing.T) {
	s := newFixture(t, 1, 0)
	pastObjective := s.ticket()
	s.submit(pastObjective)
	s.advance(300 * time.Millisecond)
	lessUrgent, urgent := s.ticket(), s.ticket()
	lessUrgent.Priority, urgent.Priority = 2, 0
	s.Submit(lessUrgent)
	s.Submit(urgent)
	s.report("a0", 1, 1)
	require.Empty(t, s.Step(s.now).Grants, "the urgent request awaits a round of probes, and no other request takes the slot")
	s.report("a0", 1, 1)
	a := s.Step(s.now)
	require.Len(t, a.Grants, 1, "one slot is free")
	require.Same(t, urgent, a.Grants[0].Ticket)
}

// Guards against urgent requests that keep arriving and starve the others.
func TestLessUrgentAreNotStarved(t *testing.T) {
	s := newFixture(t, 1, 0)
	lessUrgent := s.ticket()
	lessUrgent.Priority = 2
	lessUrgent.ObjectiveTime, lessUrgent.Deadline, lessUrgent.LatencyObjective = s.now.Add(4*time.Second), s.now.Add(8*time.Second), 4*time.Second
	s.submit(lessUrgent)
	for range 100 {
		urgent := s.ticket()
		urgent.Priority = 0
		s.Submit(urgent)
		s.report("a0", 1, 1)
		for _, g := range s.Step(s.now).Grants {
			if g.Ticket == lessUrgent {
				return
			}
			s.End("a0", g.Ticket, Served, s.now)
		}
		s.advance(60 * time.Millisecond)
	}
	t.Fatal("the less urgent request did not start within 6 s")
}

// Guards against requests that wait although no target can serve them in time.
func TestRejectsRequestsThatCannotBeServed(t *testing.T) {
	s := newFixture(t, 2, 0)
	expiring := s.ticket()
	expiring.Deadline = s.now.Add(20 * time.Millisecond)
	a := s.submit(expiring)
	require.Len(t, a.Rejections, 1)
	require.Equal(t, DeadlineUnreachable, a.Rejections[0].Reason)
	require.Positive(t, a.Rejections[0].RetryAfter)

	s.SetTargets(nil)
	a = s.submit(s.ticket())
	require.Len(t, a.Rejections, 1)
	require.Equal(t, NoTarget, a.Rejections[0].Reason)
}

// Guards against rejected clients that all retry at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	s := newFixture(t, 0, 0)
	seen := map[time.Duration]bool{}
	for range 50 {
		a := s.submit(s.ticket())
		seen[a.Rejections[0].RetryAfter.Round(time.Millisecond)] = true
	}
	require.Greater(t, len(seen), 20)
}

// Guards against requests to a target that keeps failing, against a service that
// stops because most targets fail, and against a target that is avoided forever.
func TestFailingTargetIsAvoidedUnlessMostFail(t *testing.T) {
	s := newFixture(t, 3, 0)
	fail := func(id string) {
		x := s.ticket()
		s.targets[id].running[x] = s.now
		s.End(id, x, Failed, s.now)
	}
	fail("a0")
	fail("a0")
	for range 20 {
		s.reportAll(3)
		a := s.submit(s.ticket())
		require.NotEqual(t, "a0", s.grantedTarget(a))
		s.advance(10 * time.Millisecond)
		s.End(a.Grants[0].Target.ID, a.Grants[0].Ticket, Served, s.now)
	}
	for _, id := range []string{"a1", "a2"} {
		fail(id)
		fail(id)
		fail(id)
	}
	s.reportAll(3)
	a := s.submit(s.ticket())
	s.End(s.grantedTarget(a), a.Grants[0].Ticket, Canceled, s.now)

	// The avoided target gets requests again after maxAvoidTime.
	s.advance(maxAvoidTime)
	used := map[string]bool{}
	for range 50 {
		s.reportAll(3)
		a := s.submit(s.ticket())
		used[s.grantedTarget(a)] = true
		s.advance(10 * time.Millisecond)
		s.End(a.Grants[0].Target.ID, a.Grants[0].Ticket, Served, s.now)
	}
	require.True(t, used["a0"])
}

func (s *fixture) reportAll(n int) {
	for k := range n {
		s.report(fmt.Sprintf("a%d", k), 0, 1)
	}
}

// Guards against a non-idempotent request that goes to a target with a recent failure
// and could run twice after a further failure.
func TestNonIdempotentRequestAvoidsFailedTarget(t *testing.T) {
	s := newFixture(t, 4, 0)
	x := s.ticket()
	s.targets["a0"].running[x] = s.now
	s.End("a0", x, NoCompleteResponse, s.now)
	for range 30 {
		s.reportAll(4)
		nonIdempotent := s.ticket()
		nonIdempotent.NonIdempotent = true
		a := s.submit(nonIdempotent)
		require.NotEqual(t, "a0", s.grantedTarget(a))
		s.End(a.Grants[0].Target.ID, nonIdempotent, Served, s.now)
	}
}

// Guards against a hedge that waits for a slot or goes to the target of the first
// attempt.
func TestHedgeTakesFreeSlotOrIsRejected(t *testing.T) {
	s := newFixture(t, 2, 0)
	hedge := s.ticket()
	hedge.Hedge, hedge.Avoid = true, []string{"a0"}
	s.submit(hedge)
	s.report("a1", 2, 1)
	a := s.Step(s.now)
	require.Len(t, a.Rejections, 1)
	require.Equal(t, NoFreeSlot, a.Rejections[0].Reason)

	second := s.advance(time.Second).ticket()
	second.Hedge, second.Avoid = true, []string{"a0"}
	s.submit(second)
	s.report("a1", 0, 1)
	require.Equal(t, "a1", s.grantedTarget(s.Step(s.now)))
}

// Guards against too many requests at a target: this instance's requests that a
// report does not include yet count too.
func TestOwnRequestsCountBesideTheReport(t *testing.T) {
	s := newFixture(t, 1, 0)
	s.report("a0", 0, 1)
	s.grantedTarget(s.submit(s.ticket()))
	s.submit(s.ticket())
	s.report("a0", 0, 1)
	s.grantedTarget(s.Step(s.now))
	require.Empty(t, s.submit(s.ticket()).Grants, "both slots are taken")
	s.advance(time.Millisecond).report("a0", 2, 1)
	require.Empty(t, s.Step(s.now).Grants)
}

// Guards against a service that stops because the health endpoints of its targets
// report no load or do not respond.
func TestServesWithoutReports(t *testing.T) {
	s := newFixture(t, 2, 0)
	s.submit(s.ticket())
	s.AnsweredWithoutLoad("a0")
	s.AnsweredWithoutLoad("a1")
	s.grantedTarget(s.Step(s.now))

	noResponses := newFixture(t, 2, 0)
	noResponses.submit(noResponses.ticket())
	for range 8 {
		noResponses.ProbeFailed("a0", noResponses.now)
		noResponses.ProbeFailed("a1", noResponses.now)
		if a := noResponses.advance(probeInterval + probeTimeout).Step(noResponses.now); len(a.Grants) == 1 {
			return
		}
	}
	t.Fatal("no request started while all probes failed")
}

// Guards against a new target that gets too few requests. It starts with the mean own
// slowdown of the known targets, so that it counts as equal to them.
func TestJoinedTargetGetsItsShare(t *testing.T) {
	s := newFixture(t, 2, 0)
	for range 200 {
		s.reportAll(2)
		a := s.submit(s.ticket())
		id := s.grantedTarget(a)
		s.advance(time.Duration(100+20*rand.New(rand.NewSource(1)).Intn(3)) * time.Millisecond)
		s.End(id, a.Grants[0].Ticket, Served, s.now)
	}
	s.SetTargets([]Target{{ID: "a0", Zone: "a", Slots: 2}, {ID: "a1", Zone: "a", Slots: 2}, {ID: "a2", Zone: "a", Slots: 2}})
	granted := 0
	for range 60 {
		s.reportAll(3)
		a := s.submit(s.ticket())
		if s.grantedTarget(a) == "a2" {
			granted++
		}
		s.advance(160 * time.Millisecond)
		s.End(a.Grants[0].Target.ID, a.Grants[0].Ticket, Served, s.now)
	}
	require.Greater(t, granted, 8)
}

// Guards against a request that ends twice or never, with random probes, failures
// and hedges.
func TestEachTicketEndsOnce(t *testing.T) {
	for seed := range int64(50) {
		random := rand.New(rand.NewSource(seed))
		s := newFixture(t, 3, 3)
		s.AllowProbes = func(n int, _ time.Time) int { return random.Intn(n + 1) }
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
					s.ProbeFailed(p.ID, s.now)
				default:
					s.report(p.ID, random.Intn(3), 1+4*float64(random.Intn(2)))
				}
			}
		}
		for range 400 {
			s.advance(time.Duration(random.Intn(20)) * time.Millisecond)
			if random.Intn(2) == 0 {
				x := s.ticket()
				x.Hedge, x.NonIdempotent = random.Intn(8) == 0, random.Intn(3) == 0
				submitted = append(submitted, x)
				s.Submit(x)
			}
			if len(running) > 0 && random.Intn(3) == 0 {
				g := running[0]
				running = running[1:]
				s.End(g.Target.ID, g.Ticket, Ending(random.Intn(5)), s.now)
			}
			apply(s.Step(s.now))
		}
		for s.Waiting() > 0 {
			apply(s.advance(probeInterval).Step(s.now))
		}
		for _, x := range submitted {
			require.Equal(t, 1, ended[x], "seed %d", seed)
		}
	}
}

// Guards against probes that open many connections. An instance of a large fleet gets
// few requests per second, so it mostly probes targets that it has connections to,
// but must still find all targets.
func TestProbesFewTargetsOfLargeFleet(t *testing.T) {
	s := newFixture(t, 60, 0)
	probed := map[string]time.Time{}
	newConnections, probes := 0, 0
	for range 300 {
		a := s.submit(s.ticket())
		require.Len(t, a.Probes, localFanout)
		for _, p := range a.Probes {
			if s.now.Sub(probed[p.ID]) > openConnectionAge {
				newConnections++
			}
			probes++
			probed[p.ID] = s.now
			s.report(p.ID, 0, 1)
		}
		g := s.Step(s.now).Grants[0]
		s.advance(160*time.Millisecond).End(g.Target.ID, g.Ticket, Served, s.now)
		s.advance(200 * time.Millisecond)
	}
	require.Less(t, 10*newConnections, 3*probes, "too many of %d probes need a new connection", probes)
	require.Len(t, probed, 60, "every target must be probed at some time")
}
