package watcher

import (
	"cmp"
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

const (
	// maxCallRate is the maximum mean number of calls per second of the whole fleet: a
	// tenth of what the platform serves to all its readers.
	maxCallRate = 200
	// maxDiscoveryDelay is the maximum time from the publication of a version until the
	// first member receives it. Members pass it on at once.
	maxDiscoveryDelay = 5 * time.Second
	// simulationStep is the resolution of the simulated time.
	simulationStep = 50 * time.Millisecond
)

// scenario is a state of the platform and of a fleet. The members pass documents on at
// once and, with reportsLoss, report an unreachable platform at the next
// memberCheckInterval.
type scenario struct {
	name string
	// callDuration returns how long a call takes; the default is heldDuration.
	callDuration func(c Call) time.Duration
	// result is how a call ends during which no version was published.
	result Result
	// changeInterval is the time between two published versions, and
	// replacementInterval the time between two replacements of a member; 0 for none.
	changeInterval, replacementInterval time.Duration
	// isolated means that no member sees any other member.
	isolated bool
	// reportsLoss means that members report to each other that they cannot reach the
	// platform.
	reportsLoss bool
	// fault, if set, introduces a fault into a schedule or its view before each decision,
	// to show that the bounds detect it.
	fault func(s *Schedule, v *View)
}

// heldDuration is the duration of a call to a platform that holds a watch.
func heldDuration(c Call) time.Duration {
	if c == Watch {
		return LongPollWait
	}
	return simulationStep
}

// timeoutDuration is the duration of a call to a platform that does not respond.
func timeoutDuration(c Call) time.Duration { return heldDuration(c) + callTimeout }

func constantDuration(d time.Duration) func(Call) time.Duration {
	return func(Call) time.Duration { return d }
}

// node is one member of a simulated fleet.
type node struct {
	schedule         *Schedule
	nextEvent, began time.Time
	call             Call
	// cutOff means that the node cannot reach the platform; its calls time out.
	cutOff bool
}

// simulation runs the schedules of a fleet for one document.
type simulation struct {
	scenario
	random                  *rand.Rand
	now                     time.Time
	nodes                   []*node
	members                 []netip.AddrPort
	membersReachingPlatform []netip.AddrPort
	// publishedAt is when the platform got the newest version, and receivedAt when the
	// first member got it.
	publishedAt, receivedAt time.Time
	// callsInSecond counts the calls started in each second since the start;
	// maxInFlight is the greatest number of calls in flight.
	callsInSecond map[int]int
	maxInFlight   int
}

func newSimulation(size int, s scenario, seed int64) *simulation {
	if s.callDuration == nil {
		s.callDuration = heldDuration
	}
	sim := &simulation{scenario: s, now: start, publishedAt: start, receivedAt: start, callsInSecond: map[int]int{}}
	sim.random = rand.New(rand.NewSource(seed))
	for i := range size {
		sim.members = append(sim.members, member(i))
		sim.nodes = append(sim.nodes, sim.newNode(i))
	}
	return sim
}

func (s *simulation) newNode(i int) *node {
	return &node{schedule: &Schedule{Self: member(i), Random: s.random.Float64}, nextEvent: s.now}
}

func (s *simulation) run(duration time.Duration) *simulation {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(simulationStep) {
		since := s.now.Sub(start)
		if s.replacementInterval != 0 && since != 0 && since%s.replacementInterval == 0 {
			i := s.random.Intn(len(s.members))
			s.nodes[i] = s.newNode(len(s.members) + int(since/s.replacementInterval))
			s.members[i] = s.nodes[i].schedule.Self
		}
		if s.changeInterval != 0 && since%s.changeInterval.Round(simulationStep) == 0 {
			s.publishedAt = s.now
		}
		if since%memberCheckInterval == 0 && s.reportsLoss {
			s.membersReachingPlatform = []netip.AddrPort{}
			for _, n := range s.nodes {
				if !n.schedule.PlatformUnreachable() {
					s.membersReachingPlatform = append(s.membersReachingPlatform, n.schedule.Self)
				}
			}
		}
		inFlight := 0
		for _, n := range s.nodes {
			s.advance(n)
			// One if a call is in flight, since None is 0.
			inFlight += min(int(n.call), 1)
		}
		s.maxInFlight = max(s.maxInFlight, inFlight)
	}
	return s
}

func (s *simulation) view(n *node) View {
	v := View{Members: s.members, MembersReachingPlatform: s.membersReachingPlatform, HasDocument: true}
	if s.isolated {
		v.Members = []netip.AddrPort{n.schedule.Self}
	}
	if s.fault != nil {
		s.fault(n.schedule, &v)
	}
	return v
}

// advance ends the call of a node if it is due, and starts the next one.
func (s *simulation) advance(n *node) {
	newer := n.call != None && !n.cutOff && n.began.Before(s.publishedAt)
	if s.now.Before(n.nextEvent) && !(n.call == Watch && newer) {
		return
	}
	if n.call != None {
		n.call = None
		n.schedule.Finish(s.now, s.view(n), s.outcome(n, newer))
	}
	d := n.schedule.Decide(s.now, s.view(n))
	if d.Call == None {
		n.nextEvent = s.now.Add(min(memberCheckInterval, d.DecideAt.Sub(s.now)))
		return
	}
	s.callsInSecond[int(s.now.Sub(start)/time.Second)]++
	n.call, n.began, n.nextEvent = d.Call, s.now, s.now.Add(s.callDuration(d.Call))
	if n.cutOff {
		n.nextEvent = s.now.Add(timeoutDuration(d.Call))
	}
}

// outcome returns the result of a call of a node. Newer means that a version was
// published during the call.
func (s *simulation) outcome(n *node, newer bool) Result {
	switch {
	case n.cutOff:
		return Failed
	case s.receivedAt.Before(s.publishedAt) && (newer || s.result == Unchanged):
		s.receivedAt = s.now
		return Applied
	case newer:
		return Superseded
	}
	return s.result
}

// cutOffFirst cuts count nodes off from the platform, in the order of the election: first
// the readers, then the nodes that would replace them. Their calls in flight time out.
func (s *simulation) cutOffFirst(count int) {
	order := slices.Clone(s.nodes)
	slices.SortFunc(order, func(a, b *node) int {
		return cmp.Compare(weight(b.schedule.Self, Settings), weight(a.schedule.Self, Settings))
	})
	for _, n := range order[:count] {
		n.cutOff = true
		if n.call != None {
			n.nextEvent = n.nextEvent.Add(callTimeout)
		}
	}
}

// publishAndMeasure publishes a version after a random delay and returns the time until
// the first member received it.
func (s *simulation) publishAndMeasure() time.Duration {
	s.run(time.Duration(s.random.Intn(100)) * simulationStep)
	s.publishedAt = s.now
	s.run(90 * time.Second)
	return s.receivedAt.Sub(s.publishedAt)
}

// mean returns the mean number of calls per second, for all kinds of documents together.
func (s *simulation) mean() float64 {
	total := 0
	for _, n := range s.callsInSecond {
		total += n
	}
	return float64(total*len(kindNames)) / s.now.Sub(start).Seconds()
}

// peak returns the greatest number of calls in one second, for all kinds of documents
// together.
func (s *simulation) peak() int {
	most := 0
	for _, n := range s.callsInSecond {
		most = max(most, n)
	}
	return most * len(kindNames)
}

var scenarios = []scenario{
	{name: "unchanged", result: Unchanged},
	{name: "6300 changes a day", result: Unchanged, changeInterval: 24 * time.Hour / 6300},
	{name: "replacements", result: Unchanged, replacementInterval: 10 * time.Second},
	{name: "down", callDuration: constantDuration(simulationStep), result: Failed},
	{name: "down, members report", callDuration: constantDuration(simulationStep), result: Failed, reportsLoss: true},
	{name: "frozen", callDuration: timeoutDuration, result: Failed},
	{name: "stale", callDuration: constantDuration(simulationStep), result: Stale},
	{name: "does not hold calls", callDuration: constantDuration(simulationStep), result: Unchanged},
	{name: "faulty tree", callDuration: constantDuration(simulationStep), result: Rejected},
	{name: "all isolated", result: Unchanged, isolated: true},
	{name: "all isolated, down", callDuration: constantDuration(simulationStep), result: Failed, isolated: true},
}

// The whole fleet must not overload the platform: its call rate stays within
// maxCallRate in each state of the platform, and it grows more slowly than the fleet.
func TestFleetCallRate(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "%-20s %6s %12s %12s %12s\n", "scenario", "fleet", "mean calls/s", "peak calls/s", "in flight")
	for _, s := range scenarios {
		smallest := 0.0
		for _, size := range []int{16, 48, 96, 400} {
			sim := newSimulation(size, s, 1).run(3 * time.Minute)
			fmt.Fprintf(&table, "%-20s %6d %12.2f %12d %12d\n", s.name, size, sim.mean(), sim.peak(), sim.maxInFlight*len(kindNames))
			growth := float64(size) / 16
			if size == 16 {
				smallest = sim.mean()
			} else if size == 400 {
				// 400 members may make at most a quarter of the calls that proportional
				// growth would give.
				growth /= 4
			}
			if sim.mean() > maxCallRate {
				t.Errorf("%s, %d members: %.0f calls/s, want at most maxCallRate", s.name, size, sim.mean())
			}
			if !s.isolated && size > 16 && sim.mean()/smallest >= growth {
				t.Errorf("%s, %d members: %.2f calls/s grow too much with the fleet, from %.2f with 16 members", s.name, size, sim.mean(), smallest)
			}
		}
	}
	goldie.New(t).Assert(t, "calls", []byte(table.String()))
}

// Bounds that a faulty schedule keeps would prove nothing. Two schedules that are broken
// on purpose must exceed them: one retries without backoff, and in the other each member
// that cannot reach the platform considers itself the only member.
func TestBrokenSchedulesExceedCallRate(t *testing.T) {
	noBackoff := func(s *Schedule, _ *View) { s.failures, s.nextCall = 0, s.started }
	electSelf := func(s *Schedule, v *View) {
		if s.PlatformUnreachable() {
			v.Members = []netip.AddrPort{s.Self}
		}
	}
	for _, v := range []struct {
		name     string
		isolated bool
		fault    func(s *Schedule, v *View)
		bound    float64
		want     bool
	}{
		{"all isolated", true, nil, maxCallRate, true},
		{"broken: all isolated, no backoff", true, noBackoff, maxCallRate, false},
		{"platform unreachable for all", false, nil, maxCallRate / 20, true},
		{"broken: platform unreachable for all, each elects itself", false, electSelf, maxCallRate / 20, false},
	} {
		s := scenario{name: v.name, callDuration: timeoutDuration, result: Failed, isolated: v.isolated, reportsLoss: !v.isolated, fault: v.fault}
		if v.isolated {
			s.callDuration = constantDuration(simulationStep)
		}
		sim := newSimulation(400, s, 1).run(10 * time.Minute)
		t.Logf("%s: %.2f calls/s", v.name, sim.mean())
		if within := sim.mean() <= v.bound; within != v.want {
			t.Errorf("%s: mean call rate within the bound: %v, want %v", v.name, within, v.want)
		}
	}
}

// Readers that cannot reach the platform would keep new versions from the fleet. Members
// that can reach it must replace them. When members do not report the loss, only the
// occasional fallback reads find a version, which takes longer. The table holds the
// maximum time until the first member receives a version: for a version that is published
// within 5 s after the readers were cut off, and for one that is published at least
// substitutionPeriod later, in the steady state.
func TestCutOffReadersAreReplaced(t *testing.T) {
	const trials = 4
	var table strings.Builder
	fmt.Fprintf(&table, "%5s %9s %15s %19s %28s\n", "fleet", "cut off", "loss reported", "max delay, steady", "max delay, right after cut")
	for _, size := range []int{16, 48} {
		for _, cut := range []int{0, ReaderCount, size / 2, size - 1} {
			for _, reports := range []bool{true, false} {
				var steady, rightAfter time.Duration
				for trial := range trials {
					sim := newSimulation(size, scenario{result: Unchanged, reportsLoss: reports}, int64(trial+1)).run(90 * time.Second)
					sim.cutOffFirst(cut)
					rightAfter = max(rightAfter, sim.publishAndMeasure())
					steady = max(steady, sim.run(substitutionPeriod).publishAndMeasure())
				}
				fmt.Fprintf(&table, "%5d %9d %15v %19s %28s\n", size, cut, reports, steady, rightAfter)
				if reports && steady > maxDiscoveryDelay || !reports && cut == size-1 && steady <= maxDiscoveryDelay {
					t.Errorf("fleet %d, %d cut off, loss reported %v: first member received the version after %s", size, cut, reports, steady)
				}
			}
		}
	}
	goldie.New(t).Assert(t, "cut", []byte(table.String()))
}

// A platform that returns a new document with each response must not make an instance
// call without pause. The token bucket bounds the calls; a variant whose bucket is always
// full exceeds the bound.
func TestTokenBucketBoundsCalls(t *testing.T) {
	instant := scenario{callDuration: constantDuration(simulationStep), result: Applied}
	unlimited := instant
	unlimited.fault = func(s *Schedule, _ *View) { s.tokens = burst }
	maxRate := float64(len(kindNames)) * (float64(refillInterval/time.Second) + burst/60.0)
	for want, s := range map[bool]scenario{true: instant, false: unlimited} {
		if sim := newSimulation(1, s, 1).run(time.Minute); (sim.mean() <= maxRate) != want {
			t.Errorf("call rate within the bound of the token bucket, want %v: %.2f calls/s", want, sim.mean())
		}
	}
}
