package placer

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scene is a placer with targets a0, a1 .. of its own zone and b0, b1 .. of another.
type scene struct {
	*Placer
	now time.Time
	t   *testing.T
}

func newScene(t *testing.T, near, far int) *scene {
	random := rand.New(rand.NewSource(1))
	s := &scene{now: time.Unix(1000, 0), t: t}
	s.Placer = New("a", random.Float64, func(n int, _ time.Time) int { return n })
	var targets []Target
	for k := range near {
		targets = append(targets, Target{ID: fmt.Sprintf("a%d", k), Zone: "a", Slots: 2})
	}
	for k := range far {
		targets = append(targets, Target{ID: fmt.Sprintf("b%d", k), Zone: "b", Slots: 2})
	}
	s.SetTargets(targets)
	return s
}

func (s *scene) after(d time.Duration) *scene {
	s.now = s.now.Add(d)
	return s
}

func (s *scene) ticket() *Ticket {
	return &Ticket{
		Kind: "lookup", Priority: 1, Arrived: s.now, ObjectiveTime: s.now.Add(400 * time.Millisecond),
		Deadline: s.now.Add(time.Second), LatencyObjective: 400 * time.Millisecond,
	}
}

func (s *scene) submit(t *Ticket) Actions {
	s.Submit(t)
	return s.Step(s.now)
}

// tell answers the probe of a target.
func (s *scene) tell(id string, running int, pace float64) {
	s.Report(id, Load{Running: running, Slots: 2, Slowdown: pace}, s.now, s.now)
}

func (s *scene) granted(a Actions) string {
	s.t.Helper()
	require.Len(s.t, a.Grants, 1)
	return a.Grants[0].Target.ID
}

// Targets change their speed many times a second: the choice goes by what they say now.
func TestStartsWhereWorkIsFastNow(t *testing.T) {
	s := newScene(t, 4, 4)
	a := s.submit(s.ticket())
	require.Empty(t, a.Grants)
	require.Len(t, a.Probes, 4, "only the own zone is asked at first")
	s.tell("a0", 0, 5)
	s.tell("a1", 1, 1)
	require.Empty(t, s.Step(s.now).Grants, "a better answer may come")
	s.tell("a2", 0, 1)
	require.Equal(t, "a2", s.granted(s.Step(s.now)), "an excellent one is taken at once")
}

func TestTakesTheBestOnceAllHaveAnswered(t *testing.T) {
	s := newScene(t, 3, 0)
	s.submit(s.ticket())
	s.tell("a0", 0, 5)
	s.tell("a1", 1, 1)
	s.tell("a2", 2, 1)
	require.Equal(t, "a1", s.granted(s.Step(s.now)))
}

// All of a zone are slow at the moment: a short wait beats a slow start, and other
// zones are asked after it.
func TestWaitsWhileAllAreSlowThenGoesAbroad(t *testing.T) {
	s := newScene(t, 3, 3)
	s.submit(s.ticket())
	abroad := false
	for range 8 {
		for k := range 3 {
			s.tell(fmt.Sprintf("a%d", k), 0, 5)
		}
		a := s.after(poll).Step(s.now)
		require.Empty(t, a.Grants)
		for _, p := range a.Probes {
			abroad = abroad || p.Zone == "b"
		}
	}
	require.True(t, abroad)
	s.tell("b1", 0, 1)
	a := s.Step(s.now)
	require.Equal(t, "b1", s.granted(a))
	require.True(t, a.Grants[0].Remote)
}

// A start that is expected to miss the objective waits for a better one until
// waiting cannot help any more; then any that is not slow will do.
func TestLateRequestTakesWhatIsNotSlow(t *testing.T) {
	s := newScene(t, 1, 0)
	s.submit(s.ticket())
	s.after(100*time.Millisecond).tell("a0", 1, 1.4)
	require.Empty(t, s.Step(s.now).Grants)
	s.after(200*time.Millisecond).tell("a0", 0, 5)
	require.Empty(t, s.Step(s.now).Grants, "a slow start would hold the slot for long")
	s.after(50*time.Millisecond).tell("a0", 0, 1.5)
	a := s.Step(s.now)
	require.Equal(t, "a0", s.granted(a))
	require.True(t, a.Grants[0].MissesObjective)
}

func TestInTimeGoesBeforeLateAndUrgentBeforeOthers(t *testing.T) {
	s := newScene(t, 1, 0)
	late := s.ticket()
	s.submit(late)
	s.after(300 * time.Millisecond)
	plain, urgent := s.ticket(), s.ticket()
	plain.Priority, urgent.Priority = 2, 0
	s.Submit(plain)
	s.Submit(urgent)
	s.tell("a0", 1, 1)
	require.Empty(t, s.Step(s.now).Grants, "the urgent one asks first, and nobody takes its place")
	s.tell("a0", 1, 1)
	a := s.Step(s.now)
	require.Len(t, a.Grants, 1, "one slot is free")
	require.Same(t, urgent, a.Grants[0].Ticket)
}

// Urgent requests that keep coming do not starve the others.
func TestLessUrgentAreNotStarved(t *testing.T) {
	s := newScene(t, 1, 0)
	plain := s.ticket()
	plain.Priority = 2
	plain.ObjectiveTime, plain.Deadline, plain.LatencyObjective = s.now.Add(4*time.Second), s.now.Add(8*time.Second), 4*time.Second
	s.submit(plain)
	for range 100 {
		urgent := s.ticket()
		urgent.Priority = 0
		s.Submit(urgent)
		s.tell("a0", 1, 1)
		for _, g := range s.Step(s.now).Grants {
			if g.Ticket == plain {
				return
			}
			s.End("a0", g.Ticket, Served, s.now)
		}
		s.after(60 * time.Millisecond)
	}
	t.Fatal("the less urgent request never started")
}

func TestRefusesAtOnceWhatCannotBeServed(t *testing.T) {
	s := newScene(t, 2, 0)
	hopeless := s.ticket()
	hopeless.Deadline = s.now.Add(20 * time.Millisecond)
	a := s.submit(hopeless)
	require.Len(t, a.Rejections, 1)
	require.Equal(t, DeadlineUnreachable, a.Rejections[0].Reason)
	require.Positive(t, a.Rejections[0].RetryAfter)

	s.SetTargets(nil)
	a = s.submit(s.ticket())
	require.Len(t, a.Rejections, 1)
	require.Equal(t, NoTarget, a.Rejections[0].Reason)
}

// Callers that are told to come back do not come back as one wave.
func TestRefusalsSpreadTheReturn(t *testing.T) {
	s := newScene(t, 0, 0)
	seen := map[time.Duration]bool{}
	for range 50 {
		a := s.submit(s.ticket())
		seen[a.Rejections[0].RetryAfter.Round(time.Millisecond)] = true
	}
	require.Greater(t, len(seen), 20)
}

func TestFailingTargetIsAvoidedUnlessMostFail(t *testing.T) {
	s := newScene(t, 3, 0)
	fail := func(id string) {
		x := s.ticket()
		s.targets[id].running[x] = s.now
		s.End(id, x, Failed, s.now)
	}
	fail("a0")
	fail("a0")
	for range 20 {
		s.tellAll(3)
		a := s.submit(s.ticket())
		require.NotEqual(t, "a0", s.granted(a))
		s.after(10 * time.Millisecond)
		s.End(a.Grants[0].Target.ID, a.Grants[0].Ticket, Served, s.now)
	}
	for _, id := range []string{"a1", "a2"} {
		fail(id)
		fail(id)
		fail(id)
	}
	s.tellAll(3)
	a := s.submit(s.ticket())
	s.End(s.granted(a), a.Grants[0].Ticket, Canceled, s.now)

	// The avoided one is tried again after a while.
	s.after(avoidMost)
	used := map[string]bool{}
	for range 50 {
		s.tellAll(3)
		a := s.submit(s.ticket())
		used[s.granted(a)] = true
		s.after(10 * time.Millisecond)
		s.End(a.Grants[0].Target.ID, a.Grants[0].Ticket, Served, s.now)
	}
	require.True(t, used["a0"])
}

func (s *scene) tellAll(n int) {
	for k := range n {
		s.tell(fmt.Sprintf("a%d", k), 0, 1)
	}
}

// What must not run twice goes to a target without a recent failure.
func TestCarefulRequestTakesTheSafest(t *testing.T) {
	s := newScene(t, 4, 0)
	x := s.ticket()
	s.targets["a0"].running[x] = s.now
	s.End("a0", x, NoCompleteResponse, s.now)
	for range 30 {
		s.tellAll(4)
		careful := s.ticket()
		careful.NonIdempotent = true
		a := s.submit(careful)
		require.NotEqual(t, "a0", s.granted(a))
		s.End(a.Grants[0].Target.ID, careful, Served, s.now)
	}
}

func TestSecondTryTakesFreeRoomOrNone(t *testing.T) {
	s := newScene(t, 2, 0)
	extra := s.ticket()
	extra.Hedge, extra.Avoid = true, []string{"a0"}
	s.submit(extra)
	s.tell("a1", 2, 1)
	a := s.Step(s.now)
	require.Len(t, a.Rejections, 1)
	require.Equal(t, NoFreeSlot, a.Rejections[0].Reason)

	again := s.after(time.Second).ticket()
	again.Hedge, again.Avoid = true, []string{"a0"}
	s.submit(again)
	s.tell("a1", 0, 1)
	require.Equal(t, "a1", s.granted(s.Step(s.now)))
}

// An instance's own requests that a report does not hold yet count.
func TestOwnRequestsCountBesideTheReport(t *testing.T) {
	s := newScene(t, 1, 0)
	s.tell("a0", 0, 1)
	s.granted(s.submit(s.ticket()))
	s.submit(s.ticket())
	s.tell("a0", 0, 1)
	s.granted(s.Step(s.now))
	require.Empty(t, s.submit(s.ticket()).Grants, "both slots are taken")
	s.after(time.Millisecond).tell("a0", 2, 1)
	require.Empty(t, s.Step(s.now).Grants)
}

// A health endpoint that tells no load, or does not answer, does not stop the service.
func TestServesWithoutReports(t *testing.T) {
	s := newScene(t, 2, 0)
	s.submit(s.ticket())
	s.AnsweredWithoutLoad("a0")
	s.AnsweredWithoutLoad("a1")
	s.granted(s.Step(s.now))

	silent := newScene(t, 2, 0)
	silent.submit(silent.ticket())
	for range 8 {
		silent.ProbeFailed("a0", silent.now)
		silent.ProbeFailed("a1", silent.now)
		if a := silent.after(poll + patience).Step(silent.now); len(a.Grants) == 1 {
			return
		}
	}
	t.Fatal("nothing starts while probes are not answered")
}

func TestJoinedTargetGetsItsShare(t *testing.T) {
	s := newScene(t, 2, 0)
	for range 200 {
		s.tellAll(2)
		a := s.submit(s.ticket())
		id := s.granted(a)
		s.after(time.Duration(100+20*rand.New(rand.NewSource(1)).Intn(3)) * time.Millisecond)
		s.End(id, a.Grants[0].Ticket, Served, s.now)
	}
	s.SetTargets([]Target{{ID: "a0", Zone: "a", Slots: 2}, {ID: "a1", Zone: "a", Slots: 2}, {ID: "a2", Zone: "a", Slots: 2}})
	got := 0
	for range 60 {
		s.tellAll(3)
		a := s.submit(s.ticket())
		if s.granted(a) == "a2" {
			got++
		}
		s.after(160 * time.Millisecond)
		s.End(a.Grants[0].Target.ID, a.Grants[0].Ticket, Served, s.now)
	}
	require.Greater(t, got, 8)
}

// Every submitted request ends exactly once, whatever happens.
func TestEachTicketEndsOnce(t *testing.T) {
	for seed := range int64(50) {
		random := rand.New(rand.NewSource(seed))
		s := newScene(t, 3, 3)
		s.AllowProbes = func(n int, _ time.Time) int { return random.Intn(n + 1) }
		ended := map[*Ticket]int{}
		var open []*Ticket
		var flying []Grant
		take := func(a Actions) {
			for _, g := range a.Grants {
				ended[g.Ticket]++
				flying = append(flying, g)
			}
			for _, r := range a.Rejections {
				ended[r.Ticket]++
			}
			for _, p := range a.Probes {
				switch random.Intn(4) {
				case 0:
					s.ProbeFailed(p.ID, s.now)
				default:
					s.tell(p.ID, random.Intn(3), 1+4*float64(random.Intn(2)))
				}
			}
		}
		for range 400 {
			s.after(time.Duration(random.Intn(20)) * time.Millisecond)
			if random.Intn(2) == 0 {
				x := s.ticket()
				x.Hedge, x.NonIdempotent = random.Intn(8) == 0, random.Intn(3) == 0
				open = append(open, x)
				s.Submit(x)
			}
			if len(flying) > 0 && random.Intn(3) == 0 {
				g := flying[0]
				flying = flying[1:]
				s.End(g.Target.ID, g.Ticket, Ending(random.Intn(5)), s.now)
			}
			take(s.Step(s.now))
		}
		for s.Waiting() > 0 {
			take(s.after(poll).Step(s.now))
		}
		for _, x := range open {
			require.Equal(t, 1, ended[x], "seed %d", seed)
		}
	}
}

// An instance of a large fleet gets few requests a second. It asks mostly targets that
// it has connections to, and still finds those that join.
func TestKeepsToFewTargetsOfMany(t *testing.T) {
	s := newScene(t, 60, 0)
	heard := map[string]time.Time{}
	cold, all := 0, 0
	for range 300 {
		a := s.submit(s.ticket())
		require.Len(t, a.Probes, nearFan)
		for _, p := range a.Probes {
			if s.now.Sub(heard[p.ID]) > familiarity {
				cold++
			}
			all++
			heard[p.ID] = s.now
			s.tell(p.ID, 0, 1)
		}
		g := s.Step(s.now).Grants[0]
		s.after(160*time.Millisecond).End(g.Target.ID, g.Ticket, Served, s.now)
		s.after(200 * time.Millisecond)
	}
	require.Less(t, 10*cold, 3*all, "probes that need a new connection, of %d", all)
	require.Len(t, heard, 60, "all are found in time")
}
