package detector

import (
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/sebdah/goldie/v2"

	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// grown returns a fleet whose instances know each other; its log is empty.
func grown(seed int64, n int, places ...string) *fleet {
	f := newFleet(seed, places...)
	for i := range n {
		f.start(i)
	}
	f.advance(20 * time.Second)
	f.log.Reset()
	return f
}

func TestSessions(t *testing.T) {
	sessions := []struct {
		name string
		play func() *fleet
	}{
		{"join", func() *fleet {
			f := newFleet(1)
			for i := range 4 {
				f.start(i)
			}
			f.advance(20 * time.Second)
			return f
		}},
		{"kill", func() *fleet {
			f := grown(1, 4)
			f.kill(3)
			f.advance(20 * time.Second)
			return f
		}},
		{"pause", func() *fleet {
			f := grown(1, 4)
			f.note("-- n3 is paused for 3 s")
			f.at(3).paused = f.now.Add(3 * time.Second)
			f.advance(20 * time.Second)
			return f
		}},
		{"long-pause", func() *fleet {
			f := grown(1, 4)
			f.note("-- n3 is paused for 30 s")
			f.at(3).paused = f.now.Add(30 * time.Second)
			f.advance(60 * time.Second)
			return f
		}},
		{"leave", func() *fleet {
			f := grown(1, 4)
			f.note("-- n3 leaves")
			f.send(f.at(3), f.at(3).StartLeaving(f.now))
			f.advance(10 * time.Second)
			f.note("-- n3 says farewell and stops")
			f.send(f.at(3), f.at(3).FinishLeaving(f.now))
			f.advance(f.step)
			f.at(3).running = false
			f.advance(10 * time.Second)
			return f
		}},
		{"replace", func() *fleet {
			f := grown(1, 4)
			f.kill(3)
			f.note("-- a new incarnation starts at the address of n3")
			f.start(3)
			f.advance(20 * time.Second)
			return f
		}},
		{"partition", func() *fleet {
			f := grown(1, 4)
			f.note("-- n0 and n1 are cut from n2 and n3")
			f.cut = func(a, b int) bool { return (a < 2) != (b < 2) }
			f.advance(15 * time.Minute)
			f.note("-- the cut ends")
			f.cut = func(int, int) bool { return false }
			f.advance(time.Minute)
			return f
		}},
		{"ghost", func() *fleet {
			f := grown(1, 3)
			f.note("-- the list names n0 and an address without an instance, and omits the others")
			ghost := netip.MustParseAddrPort("10.9.9.9:7000")
			f.at(0).SetListed([]netip.AddrPort{addressOf(0), ghost}, f.now)
			f.advance(5 * time.Minute)
			f.note("n0 tried the ghost %d times in 5 minutes and knows %d members", f.tries[ghost], len(f.at(0).Members()))
			return f
		}},
	}
	g := goldie.New(t)
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			f := s.play()
			if fault := f.whole(); fault != "" && s.name != "ghost" {
				t.Error(fault)
			}
			g.Assert(t, s.name, []byte(f.log.String()))
		})
	}
}

// healed cuts two places from each other for an hour, without seeds to come back
// by, and returns what is wrong a minute after.
func healed(forget time.Duration) string {
	f := newFleet(1, "himal", "steadyhand")
	f.step = 50 * time.Millisecond
	for i := range 12 {
		f.start(i)
	}
	f.advance(time.Minute)
	for _, r := range f.all {
		r.options.Seeds = nil
		r.options.ForgetAfter = forget
	}
	perMinute := func(d time.Duration) float64 {
		before := f.sent
		f.advance(d)
		return float64(f.sent-before) / d.Minutes()
	}
	calm := perMinute(5 * time.Minute)
	f.cut = func(a, b int) bool { return a%2 != b%2 }
	during := perMinute(time.Hour)
	if during > 2*calm {
		return fmt.Sprintf("%.0f packets a minute during the cut, %.0f before", during, calm)
	}
	f.cut = func(int, int) bool { return false }
	f.advance(time.Minute)
	return f.whole()
}

func TestHourLongRegionCutHeals(t *testing.T) {
	if fault := healed(DefaultForgetAfter); fault != "" {
		t.Error(fault)
	}
	if healed(10*time.Minute) == "" {
		t.Error("the check passes instances that forget the others during the cut")
	}
}

// faults are the disturbances of the fleet at an instance or between two.
var faults = []func(f *fleet, i, j int){
	func(f *fleet, i, _ int) {
		if f.at(i).running {
			f.kill(i)
		}
	},
	func(f *fleet, i, _ int) {
		f.at(i).running = false
		f.start(i)
	},
	func(f *fleet, i, _ int) { f.at(i).paused = f.now.Add(time.Duration(f.random.Intn(12)) * time.Second) },
	func(f *fleet, i, j int) {
		f.cut = func(a, b int) bool { return a != b && (a == i || b == j) }
	},
	func(f *fleet, _, _ int) { f.cut = func(int, int) bool { return false } },
	func(f *fleet, i, _ int) {
		r := f.at(i)
		if r.running {
			r.farewell = true
			f.send(r, r.FinishLeaving(f.now))
			r.running = false
		}
	},
}

// neverEndsALiveOne checks under random faults and delays that no instance holds
// a live incarnation to have ended, and that the fleet is whole a while after.
func neverEndsALiveOne(broken *rules) gopter.Prop {
	return prop.ForAll(func(seed int64) string { return disturbed(broken, seed) }, gen.Int64().WithShrinker(gopter.NoShrinker))
}

// disturbed plays random faults and returns what is wrong.
func disturbed(broken *rules, seed int64) string {
	f := newFleet(seed)
	f.step = 50 * time.Millisecond
	f.rules = broken
	f.delay = func() time.Duration {
		if f.random.Intn(10) == 0 {
			return time.Duration(f.random.Int63n(int64(10 * time.Second)))
		}
		return f.step
	}
	for i := range 5 {
		f.start(i)
	}
	for range 40 {
		f.advance(time.Duration(f.random.Intn(3000)) * time.Millisecond)
		faults[f.random.Intn(len(faults))](f, f.random.Intn(5), f.random.Intn(5))
		if fault := f.wrongly(); fault != "" {
			return fault
		}
	}
	f.cut = func(int, int) bool { return false }
	f.delay = func() time.Duration { return f.step }
	f.list()
	f.advance(3 * time.Minute)
	if fault := f.wrongly(); fault != "" {
		return fault
	}
	return f.whole()
}

func TestNeverEndsALiveIncarnation(t *testing.T) {
	parameters := func() *gopter.TestParameters {
		p := gopter.DefaultTestParametersWithSeed(1)
		p.Rng = rand.New(rand.NewSource(1))
		p.MinSuccessfulTests = 60
		return p
	}
	properties := gopter.NewProperties(parameters())
	properties.Property("ended only for good", neverEndsALiveOne(nil))
	properties.TestingRun(t)

	broken := rules{supersedes: answeredLater, conflict: func(d *Detector, r *record, m Member, now time.Time) {
		d.end(r.member, now)
		d.add(m, now)
	}}
	if neverEndsALiveOne(&broken).Check(parameters()).Passed() {
		t.Error("the check passes a rule by which the word of others ends an incarnation")
	}
}

// lateAnswer has an instance ping an address whose process answers and is then
// replaced; the answer arrives after the successor has been met. It returns what
// is wrong.
func lateAnswer(broken *rules) string {
	f := newFleet(1)
	f.rules = broken
	f.start(0)
	f.start(1)
	keep := func(i int) {
		f.wire = slices.DeleteFunc(f.wire, func(d delivery) bool {
			return indexOf(d.action.Packet.From.Instance.Peer) != i
		})
	}
	f.advance(f.step)
	keep(0)
	f.advance(f.step)
	keep(1)
	late := f.wire
	f.wire = nil
	f.at(1).running = false
	f.start(1)
	f.advance(DefaultPingTimeout / 2)
	f.wire = append(f.wire, late...)
	f.advance(10 * time.Second)
	if fault := f.wrongly(); fault != "" {
		return fault
	}
	return f.whole()
}

func TestLateAnswerEndsNobody(t *testing.T) {
	if fault := lateAnswer(nil); fault != "" {
		t.Error(fault)
	}
	hasty := rules{conflict: (*Detector).claimConflict, supersedes: func(time.Time, time.Time) bool { return true }}
	if lateAnswer(&hasty) == "" {
		t.Error("the check passes a rule by which the answer to an older ping ends the held incarnation")
	}
}

// TestUnknownStateIsNotHeld hears of a member in a state that only other versions
// have: it has no name and must not be passed on.
func TestUnknownStateIsNotHeld(t *testing.T) {
	member := func(port uint16, s State) Member {
		peer := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		return Member{Instance: lister.Instance{Peer: peer}, Incarnation: 1, State: s}
	}
	now := time.Unix(1000, 0)
	d := New(Options{Self: member(1, Alive), Period: time.Second, Random: rand.New(rand.NewSource(1)).Uint64}, now)
	d.Receive(Packet{Type: Ping, From: member(2, Alive), Updates: []Member{member(3, Alive), member(4, Ended+1)}}, now)
	if n := len(d.Members()); n != 2 {
		t.Errorf("%d members are held, not 2", n)
	}
}
