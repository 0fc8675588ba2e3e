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
	// maxDelay is the maximum time from the publication of a version until it is in force.
	maxDelay = 5 * time.Second
	// simulationStep is the resolution of the simulated time.
	simulationStep = 50 * time.Millisecond
)

// scenario is a state of the platform and of a fleet. The members pass documents on at
// once and, with reportsLoss, report a lost platform at the next memberCheckInterval.
type scenario struct {
	name string
	// callDuration returns how long a call takes; the default is heldDuration.
	callDuration func(c Call) time.Duration
	// result is how a call ends that finds nothing newer.
	result Result
	// changeInterval is the time between two published versions, and
	// replacementInterval the time between two replacements of a member; 0 for none.
	changeInterval, replacementInterval time.Duration
	// isolated means that no member sees any other member.
	isolated bool
	// reportsLoss means that members report to each other that they lost the platform.
	reportsLoss bool
	// damage, if set, breaks a schedule or its view before each decision, to show that
	// the bounds detect it.
	damage func(s *Schedule, v *View)
}

// heldDuration is the duration of a call to a platform that holds a watch.
func heldDuration(c Call) time.Duration {
	if c == Watch {
		return LongPollWait
	}
	return simulationStep
}

// timeoutDuration is the duration of a call to a platform that does not respond.
func timeoutDuration(c Call) time.Duration { return heldDuration(c) + readTimeout }

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
	random       *rand.Rand
	now          time.Time
	nodes        []*node
	members      []netip.AddrPort
	withPlatform []netip.AddrPort
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
	f := &simulation{scenario: s, now: start, publishedAt: start, receivedAt: start, callsInSecond: map[int]int{}}
	f.random = rand.New(rand.NewSource(seed))
	for i := range size {
		f.members = append(f.members, member(i))
		f.nodes = append(f.nodes, f.newNode(i))
	}
	return f
}

func (f *simulation) newNode(i int) *node {
	return &node{schedule: &Schedule{Self: member(i), Random: f.random.Float64}, nextEvent: f.now}
}

func (f *simulation) run(length time.Duration) *simulation {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(simulationStep) {
		since := f.now.Sub(start)
		if f.replacementInterval != 0 && since != 0 && since%f.replacementInterval == 0 {
			i := f.random.Intn(len(f.members))
			f.nodes[i] = f.newNode(len(f.members) + int(since/f.replacementInterval))
			f.members[i] = f.nodes[i].schedule.Self
		}
		if f.changeInterval != 0 && since%f.changeInterval.Round(simulationStep) == 0 {
			f.publishedAt = f.now
		}
		if since%memberCheckInterval == 0 && f.reportsLoss {
			f.withPlatform = []netip.AddrPort{}
			for _, n := range f.nodes {
				if !n.schedule.PlatformLost() {
					f.withPlatform = append(f.withPlatform, n.schedule.Self)
				}
			}
		}
		inFlight := 0
		for _, n := range f.nodes {
			f.advance(n)
			inFlight += min(int(n.call), 1)
		}
		f.maxInFlight = max(f.maxInFlight, inFlight)
	}
	return f
}

func (f *simulation) view(n *node) View {
	v := View{Members: f.members, WithPlatform: f.withPlatform, HasDocument: true}
	if f.isolated {
		v.Members = []netip.AddrPort{n.schedule.Self}
	}
	if f.damage != nil {
		f.damage(n.schedule, &v)
	}
	return v
}

// advance ends the call of a node if it is due, and starts the next one.
func (f *simulation) advance(n *node) {
	newer := n.call != None && !n.cutOff && n.began.Before(f.publishedAt)
	if f.now.Before(n.nextEvent) && !(n.call == Watch && newer) {
		return
	}
	if n.call != None {
		n.call = None
		n.schedule.Finish(f.now, f.view(n), f.outcome(n, newer))
	}
	d := n.schedule.Decide(f.now, f.view(n))
	if d.Call == None {
		n.nextEvent = f.now.Add(min(memberCheckInterval, d.DecideAt.Sub(f.now)))
		return
	}
	f.callsInSecond[int(f.now.Sub(start)/time.Second)]++
	n.call, n.began, n.nextEvent = d.Call, f.now, f.now.Add(f.callDuration(d.Call))
	if n.cutOff {
		n.nextEvent = f.now.Add(timeoutDuration(d.Call))
	}
}

// outcome returns the result of a call of a node. Newer means that a version was
// published during the call.
func (f *simulation) outcome(n *node, newer bool) Result {
	switch {
	case n.cutOff:
		return Failed
	case f.receivedAt.Before(f.publishedAt) && (newer || f.result == Unchanged):
		f.receivedAt = f.now
		return Applied
	case newer:
		return Superseded
	}
	return f.result
}

// cutOff cuts count nodes off from the platform, in the order of the election: first the
// readers, then the nodes that would replace them. Their calls in flight time out.
func (f *simulation) cutOff(count int) {
	order := slices.Clone(f.nodes)
	slices.SortFunc(order, func(a, b *node) int {
		return cmp.Compare(weight(b.schedule.Self, Settings), weight(a.schedule.Self, Settings))
	})
	for _, n := range order[:count] {
		n.cutOff = true
		if n.call != None {
			n.nextEvent = n.nextEvent.Add(readTimeout)
		}
	}
}

// publish publishes a version after a random delay and returns the time until the first
// member got it.
func (f *simulation) publish() time.Duration {
	f.run(time.Duration(f.random.Intn(100)) * simulationStep)
	f.publishedAt = f.now
	f.run(90 * time.Second)
	return f.receivedAt.Sub(f.publishedAt)
}

// mean returns the mean number of calls per second, for all kinds of documents together.
func (f *simulation) mean() float64 {
	total := 0
	for _, n := range f.callsInSecond {
		total += n
	}
	return float64(total*len(kindNames)) / f.now.Sub(start).Seconds()
}

// peak returns the greatest number of calls in one second, for all kinds of documents
// together.
func (f *simulation) peak() int {
	most := 0
	for _, n := range f.callsInSecond {
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
			f := newSimulation(size, s, 1).run(3 * time.Minute)
			fmt.Fprintf(&table, "%-20s %6d %12.2f %12d %12d\n", s.name, size, f.mean(), f.peak(), f.maxInFlight*len(kindNames))
			growth := float64(size) / 16
			if size == 16 {
				smallest = f.mean()
			} else if size == 400 {
				growth /= 4
			}
			if f.mean() > maxCallRate {
				t.Errorf("%s, %d members: %.0f calls/s", s.name, size, f.mean())
			}
			if !s.isolated && size > 16 && f.mean()/smallest >= growth {
				t.Errorf("%s, %d members: %.2f calls/s, %.2f with 16 members", s.name, size, f.mean(), smallest)
			}
		}
	}
	goldie.New(t).Assert(t, "calls", []byte(table.String()))
}

// Bounds that a faulty schedule keeps would prove nothing. Two schedules that are broken
// on purpose must exceed them: one retries without backoff, and in the other each member
// that loses the platform considers itself the only member.
func TestBrokenSchedulesExceedCallRate(t *testing.T) {
	noBackoff := func(s *Schedule, _ *View) { s.failures, s.nextCall = 0, s.started }
	electSelf := func(s *Schedule, v *View) {
		if s.PlatformLost() {
			v.Members = []netip.AddrPort{s.Self}
		}
	}
	for _, v := range []struct {
		name     string
		isolated bool
		damage   func(s *Schedule, v *View)
		bound    float64
		want     bool
	}{
		{"all isolated", true, nil, maxCallRate, true},
		{"broken: all isolated, no backoff", true, noBackoff, maxCallRate, false},
		{"all lost the platform", false, nil, maxCallRate / 20, true},
		{"broken: all lost the platform, each elects itself", false, electSelf, maxCallRate / 20, false},
	} {
		s := scenario{name: v.name, callDuration: timeoutDuration, result: Failed, isolated: v.isolated, reportsLoss: !v.isolated, damage: v.damage}
		if v.isolated {
			s.callDuration = constantDuration(simulationStep)
		}
		f := newSimulation(400, s, 1).run(10 * time.Minute)
		t.Logf("%s: %.2f calls/s", v.name, f.mean())
		if within := f.mean() <= v.bound; within != v.want {
			t.Errorf("%s: within the bound %v, want %v", v.name, within, v.want)
		}
	}
}

// Readers that cannot reach the platform would keep new versions from the fleet. Members
// that can reach it must replace them. When members do not report the loss, a version
// is only found by the occasional fallback reads, which takes longer. The table holds
// the maximum time until a version is found, for one that is published right after the
// readers were cut off and for one that is published at least substitutionPeriod later.
func TestCutOffReadersAreReplaced(t *testing.T) {
	const trials = 4
	var table strings.Builder
	fmt.Fprintf(&table, "%5s %5s %8s %18s %18s\n", "fleet", "cut", "reports", "later, at most", "at once, at most")
	for _, size := range []int{16, 48} {
		for _, cut := range []int{0, ReaderCount, size / 2, size - 1} {
			for _, reports := range []bool{true, false} {
				var later, first time.Duration
				for trial := range trials {
					f := newSimulation(size, scenario{result: Unchanged, reportsLoss: reports}, int64(trial+1)).run(90 * time.Second)
					f.cutOff(cut)
					first = max(first, f.publish())
					later = max(later, f.run(substitutionPeriod).publish())
				}
				fmt.Fprintf(&table, "%5d %5d %8v %18s %18s\n", size, cut, reports, later, first)
				if reports && later > maxDelay || !reports && cut == size-1 && later <= maxDelay {
					t.Errorf("fleet %d, %d cut off, loss reported %v: version found after %s", size, cut, reports, later)
				}
			}
		}
	}
	goldie.New(t).Assert(t, "cut", []byte(table.String()))
}

// A platform that returns a new document with each response must not make an instance
// call without pause. The token bucket bounds the calls; a variant whose bucket is always full
// exceeds the bound.
func TestTokenBucketBoundsCalls(t *testing.T) {
	instant := scenario{callDuration: constantDuration(simulationStep), result: Applied}
	unlimited := instant
	unlimited.damage = func(s *Schedule, _ *View) { s.tokens = burst }
	maxRate := float64(len(kindNames)) * (float64(refillInterval/time.Second) + burst/60.0)
	for want, s := range map[bool]scenario{true: instant, false: unlimited} {
		if f := newSimulation(1, s, 1).run(time.Minute); (f.mean() <= maxRate) != want {
			t.Errorf("within the bucket %v: %.2f calls/s", want, f.mean())
		}
	}
}
