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
	// goal is the greatest mean of calls per second for the whole fleet: a tenth
	// of what the platform serves to all its readers.
	goal = 200
	// inForce is the time within which a version must be in force.
	inForce = 5 * time.Second
	// step is the resolution of the simulated time.
	step = 50 * time.Millisecond
)

// situation is a state of the platform and of a connected fleet, whose members
// pass documents on at once and word of losses after a tick.
type situation struct {
	name string
	// length is how long a call takes, held by default, and result how it ends.
	length func(c Call) time.Duration
	result Result
	// change is the time between two versions and churn that between two
	// replacements of a member; 0 for none.
	change, churn time.Duration
	// split leaves each member alone with itself.
	split bool
	// telling says that members tell each other that they lost the platform.
	telling bool
	// spoil, if set, breaks a schedule or its view before each decision.
	spoil func(s *Schedule, v *View)
}

func held(c Call) time.Duration {
	if c == Watch {
		return Wait
	}
	return step
}

func frozen(c Call) time.Duration { return held(c) + readTimeout }

func at(d time.Duration) func(Call) time.Duration { return func(Call) time.Duration { return d } }

// machine is one member of a simulated fleet.
type machine struct {
	schedule   *Schedule
	due, began time.Time
	call       Call
	// cut says that the platform's network is cut off; calls time out.
	cut bool
}

// simulation runs the schedules of a fleet for one document.
type simulation struct {
	situation
	random   *rand.Rand
	now      time.Time
	machines []*machine
	members  []netip.AddrPort
	able     []netip.AddrPort
	// published is when the platform got the newest version, found when the
	// first member had it.
	published, found time.Time
	// seconds counts the calls started in each second; waiting is the most in flight.
	seconds map[int]int
	waiting int
}

func newSimulation(size int, s situation, seed int64) *simulation {
	if s.length == nil {
		s.length = held
	}
	f := &simulation{situation: s, now: start, published: start, found: start, seconds: map[int]int{}}
	f.random = rand.New(rand.NewSource(seed))
	for i := range size {
		f.members = append(f.members, member(i))
		f.machines = append(f.machines, f.machine(i))
	}
	return f
}

func (f *simulation) machine(i int) *machine {
	return &machine{schedule: &Schedule{Self: member(i), Random: f.random.Float64}, due: f.now}
}

func (f *simulation) run(length time.Duration) *simulation {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		since := f.now.Sub(start)
		if f.churn != 0 && since != 0 && since%f.churn == 0 {
			i := f.random.Intn(len(f.members))
			f.machines[i] = f.machine(len(f.members) + int(since/f.churn))
			f.members[i] = f.machines[i].schedule.Self
		}
		if f.change != 0 && since%f.change.Round(step) == 0 {
			f.published = f.now
		}
		if since%tick == 0 && f.telling {
			f.able = []netip.AddrPort{}
			for _, m := range f.machines {
				if !m.schedule.Lost() {
					f.able = append(f.able, m.schedule.Self)
				}
			}
		}
		inFlight := 0
		for _, m := range f.machines {
			f.advance(m)
			inFlight += min(int(m.call), 1)
		}
		f.waiting = max(f.waiting, inFlight)
	}
	return f
}

func (f *simulation) view(m *machine) View {
	v := View{Members: f.members, Able: f.able, Holding: true}
	if f.split {
		v.Members = []netip.AddrPort{m.schedule.Self}
	}
	if f.spoil != nil {
		f.spoil(m.schedule, &v)
	}
	return v
}

func (f *simulation) advance(m *machine) {
	news := m.call != None && !m.cut && m.began.Before(f.published)
	if f.now.Before(m.due) && !(m.call == Watch && news) {
		return
	}
	if m.call != None {
		m.call = None
		m.schedule.Finish(f.now, f.view(m), f.outcome(m, news))
	}
	d := m.schedule.Decide(f.now, f.view(m))
	if d.Call == None {
		m.due = f.now.Add(min(tick, d.Again.Sub(f.now)))
		return
	}
	f.seconds[int(f.now.Sub(start)/time.Second)]++
	m.call, m.began, m.due = d.Call, f.now, f.now.Add(f.length(d.Call))
	if m.cut {
		m.due = f.now.Add(frozen(d.Call))
	}
}

func (f *simulation) outcome(m *machine, news bool) Result {
	switch {
	case m.cut:
		return Failed
	case f.found.Before(f.published) && (news || f.result == Same):
		f.found = f.now
		return News
	case news:
		return Passed
	}
	return f.result
}

// cutOff cuts n members off the platform, in the order of the election, so that
// readers and those next in line come first. Their calls in flight time out.
func (f *simulation) cutOff(n int) {
	order := slices.Clone(f.machines)
	slices.SortFunc(order, func(a, b *machine) int {
		return cmp.Compare(weight(b.schedule.Self, Settings), weight(a.schedule.Self, Settings))
	})
	for _, m := range order[:n] {
		m.cut = true
		if m.call != None {
			m.due = m.due.Add(readTimeout)
		}
	}
}

// publish lets some random time pass, publishes a version and returns how long
// it took to reach a member.
func (f *simulation) publish() time.Duration {
	f.run(time.Duration(f.random.Intn(100)) * step)
	f.published = f.now
	f.run(90 * time.Second)
	return f.found.Sub(f.published)
}

// mean is the calls per second and peak the most in one second, for all kinds
// of documents together.
func (f *simulation) mean() float64 {
	total := 0
	for _, n := range f.seconds {
		total += n
	}
	return float64(total*len(paths)) / f.now.Sub(start).Seconds()
}

func (f *simulation) peak() int {
	most := 0
	for _, n := range f.seconds {
		most = max(most, n)
	}
	return most * len(paths)
}

var situations = []situation{
	{name: "quiet", result: Same},
	{name: "6300 changes a day", result: Same, change: 24 * time.Hour / 6300},
	{name: "replacements", result: Same, churn: 10 * time.Second},
	{name: "down", length: at(step), result: Failed},
	{name: "down, members tell", length: at(step), result: Failed, telling: true},
	{name: "frozen", length: frozen, result: Failed},
	{name: "stale", length: at(step), result: Old},
	{name: "does not hold", length: at(step), result: Same},
	{name: "faulty tree", length: at(step), result: Refused},
	{name: "split to singles", result: Same, split: true},
	{name: "split and down", length: at(step), result: Failed, split: true},
}

// The calls of a whole fleet stay within the goal and grow more slowly than it.
func TestCallsOfFleet(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "%-20s %6s %12s %12s %12s\n", "situation", "fleet", "mean calls/s", "peak calls/s", "in flight")
	for _, s := range situations {
		smallest := 0.0
		for _, size := range []int{16, 48, 96, 400} {
			f := newSimulation(size, s, 1).run(3 * time.Minute)
			fmt.Fprintf(&table, "%-20s %6d %12.2f %12d %12d\n", s.name, size, f.mean(), f.peak(), f.waiting*len(paths))
			growth := float64(size) / 16
			if size == 16 {
				smallest = f.mean()
			} else if size == 400 {
				growth /= 4
			}
			if f.mean() > goal {
				t.Errorf("%s, %d members: %.0f calls/s", s.name, size, f.mean())
			}
			if !s.split && size > 16 && f.mean()/smallest >= growth {
				t.Errorf("%s, %d members: %.2f calls/s after %.2f with 16", s.name, size, f.mean(), smallest)
			}
		}
	}
	goldie.New(t).Assert(t, "calls", []byte(table.String()))
}

// The bounds of calls are missed by schedules that are broken on purpose.
func TestCallsOfBrokenFleets(t *testing.T) {
	tireless := func(s *Schedule, _ *View) { s.failures, s.next = 0, s.started }
	alone := func(s *Schedule, v *View) {
		if s.Lost() {
			v.Members = []netip.AddrPort{s.Self}
		}
	}
	for _, v := range []struct {
		name  string
		split bool
		spoil func(s *Schedule, v *View)
		bound float64
		want  bool
	}{
		{"split", true, nil, goal, true},
		{"broken: split, no back-off", true, tireless, goal, false},
		{"all lost", false, nil, goal / 20, true},
		{"broken: all lost, each counts on itself", false, alone, goal / 20, false},
	} {
		s := situation{name: v.name, length: frozen, result: Failed, split: v.split, telling: !v.split, spoil: v.spoil}
		if v.split {
			s.length = at(step)
		}
		f := newSimulation(400, s, 1).run(10 * time.Minute)
		t.Logf("%s: %.2f calls/s", v.name, f.mean())
		if within := f.mean() <= v.bound; within != v.want {
			t.Errorf("%s: within the bound %v, want %v", v.name, within, v.want)
		}
	}
}

// Readers that are cut off from the platform are replaced by members that reach
// it. Without word of the loss, the rare fallback reads take longer.
func TestCutReaders(t *testing.T) {
	const trials = 4
	var table strings.Builder
	fmt.Fprintf(&table, "%5s %5s %8s %18s %18s\n", "fleet", "cut", "telling", "settled, at most", "fresh, at most")
	for _, size := range []int{16, 48} {
		for _, cut := range []int{0, Readers, size / 2, size - 1} {
			for _, telling := range []bool{true, false} {
				var settled, fresh time.Duration
				for trial := range trials {
					f := newSimulation(size, situation{result: Same, telling: telling}, int64(trial+1)).run(90 * time.Second)
					f.cutOff(cut)
					fresh = max(fresh, f.publish())
					settled = max(settled, f.run(substitution).publish())
				}
				fmt.Fprintf(&table, "%5d %5d %8v %18s %18s\n", size, cut, telling, settled, fresh)
				if telling && settled > inForce || !telling && cut == size-1 && settled <= inForce {
					t.Errorf("fleet %d, %d cut, telling %v: found after %s", size, cut, telling, settled)
				}
			}
		}
	}
	goldie.New(t).Assert(t, "cut", []byte(table.String()))
}

// Whatever the platform answers, one instance stays within its bucket; a
// variant whose bucket is refilled without end does not.
func TestBucket(t *testing.T) {
	instant := situation{length: at(step), result: News}
	bottomless := instant
	bottomless.spoil = func(s *Schedule, _ *View) { s.tokens = burst }
	most := float64(len(paths)) * (float64(refill/time.Second) + burst/60.0)
	for want, s := range map[bool]situation{true: instant, false: bottomless} {
		if f := newSimulation(1, s, 1).run(time.Minute); (f.mean() <= most) != want {
			t.Errorf("within the bucket %v: %.2f calls/s", want, f.mean())
		}
	}
}
