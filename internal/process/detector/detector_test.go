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

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// convergedFleet returns a fleet whose instances hold each other as alive. Its log is
// empty.
func convergedFleet(seed int64, n int, places ...string) *fleet {
	f := newFleet(seed, places...)
	for i := range n {
		f.start(i)
	}
	f.advance(20 * time.Second)
	f.log.Reset()
	return f
}

// TestSessions compares the changes of view in simple scenarios with golden files.
func TestSessions(t *testing.T) {
	sessions := []struct {
		name string
		run  func() *fleet
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
			f := convergedFleet(1, 4)
			f.kill(3)
			f.advance(20 * time.Second)
			return f
		}},
		{"pause", func() *fleet {
			f := convergedFleet(1, 4)
			f.logf("-- n3 is paused for 3 s")
			f.at(3).pausedUntil = f.now.Add(3 * time.Second)
			f.advance(20 * time.Second)
			return f
		}},
		{"long-pause", func() *fleet {
			f := convergedFleet(1, 4)
			f.logf("-- n3 is paused for 30 s")
			f.at(3).pausedUntil = f.now.Add(30 * time.Second)
			f.advance(60 * time.Second)
			return f
		}},
		{"leave", func() *fleet {
			f := convergedFleet(1, 4)
			f.logf("-- n3 leaves")
			f.send(f.at(3), f.at(3).StartLeaving(f.now))
			f.advance(10 * time.Second)
			f.logf("-- n3 sends its leave messages and stops")
			f.send(f.at(3), f.at(3).FinishLeaving(f.now))
			f.advance(f.step)
			f.at(3).running = false
			f.advance(10 * time.Second)
			return f
		}},
		{"replace", func() *fleet {
			f := convergedFleet(1, 4)
			f.kill(3)
			f.logf("-- a new incarnation starts at the address of n3")
			f.start(3)
			f.advance(20 * time.Second)
			return f
		}},
		{"partition", func() *fleet {
			f := convergedFleet(1, 4)
			f.logf("-- n0 and n1 are partitioned from n2 and n3")
			f.isCut = func(a, b int) bool { return (a < 2) != (b < 2) }
			f.advance(15 * time.Minute)
			f.logf("-- the partition ends")
			f.isCut = func(int, int) bool { return false }
			f.advance(time.Minute)
			return f
		}},
		{"absent-instance", func() *fleet {
			f := convergedFleet(1, 3)
			f.logf("-- the list names n0 and an address without an instance, and omits n1 and n2")
			absent := netip.MustParseAddrPort("10.9.9.9:7000")
			f.at(0).SetListed([]netip.AddrPort{addressOf(0), absent}, f.now)
			f.advance(5 * time.Minute)
			f.logf("n0 sent %d packets to the absent instance in 5 minutes and holds %d members", f.sentTo[absent], len(f.at(0).Members()))
			return f
		}},
	}
	g := goldie.New(t)
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			f := s.run()
			if problem := f.disagreement(); problem != "" && s.name != "absent-instance" {
				t.Error(problem)
			}
			g.Assert(t, s.name, []byte(f.log.String()))
		})
	}
}

// hourLongPartition partitions two places from each other for an hour. The instances
// have no seeds, so that they find each other again only by their records of failed
// members. It returns what is wrong, "" for nothing: more than twice the usual number
// of packets during the partition, or a wrong view a minute after it.
func hourLongPartition(forgetAfter time.Duration) string {
	f := newFleet(1, "himal", "steadyhand")
	f.step = 50 * time.Millisecond
	for i := range 12 {
		f.start(i)
	}
	f.advance(time.Minute)
	for _, r := range f.started {
		r.options.Seeds = nil
		r.options.ForgetAfter = forgetAfter
	}
	perMinute := func(d time.Duration) float64 {
		before := f.sent
		f.advance(d)
		return float64(f.sent-before) / d.Minutes()
	}
	usual := perMinute(5 * time.Minute)
	f.isCut = func(a, b int) bool { return a%2 != b%2 }
	during := perMinute(time.Hour)
	if during > 2*usual {
		return fmt.Sprintf("%.0f packets/min during the partition, want at most twice the %.0f before", during, usual)
	}
	f.isCut = func(int, int) bool { return false }
	f.advance(time.Minute)
	return f.disagreement()
}

// TestHourLongPartitionHeals guards against instances that forget each other during a
// long partition between two places and never find each other again.
func TestHourLongPartitionHeals(t *testing.T) {
	if problem := hourLongPartition(DefaultForgetAfter); problem != "" {
		t.Error(problem)
	}
	if hourLongPartition(10*time.Minute) == "" {
		t.Error("the check passes with instances that forget failed members after 10 minutes of the partition")
	}
}

// faults holds the faults that a test injects at instance i or between i and j: a
// kill, a restart, a pause, a one-way cut of all packets from i and all packets to j,
// the end of that cut, and leaving.
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
	func(f *fleet, i, _ int) {
		f.at(i).pausedUntil = f.now.Add(time.Duration(f.random.Intn(12)) * time.Second)
	},
	func(f *fleet, i, j int) {
		f.isCut = func(a, b int) bool { return a != b && (a == i || b == j) }
	},
	func(f *fleet, _, _ int) { f.isCut = func(int, int) bool { return false } },
	func(f *fleet, i, _ int) {
		r := f.at(i)
		if r.running {
			r.left = true
			f.send(r, r.FinishLeaving(f.now))
			r.running = false
		}
	},
}

// liveIncarnationsNeverEnd checks under random faults and delays that no instance holds
// a running incarnation as ended, and that all views agree 3 minutes after the last
// fault.
func liveIncarnationsNeverEnd(broken *rules) gopter.Prop {
	return prop.ForAll(func(seed int64) string { return runRandomFaults(broken, seed) }, gen.Int64().WithShrinker(gopter.NoShrinker))
}

// runRandomFaults injects random faults and returns the first wrong view, "" for none.
func runRandomFaults(broken *rules, seed int64) string {
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
		if problem := f.endedWhileRunning(); problem != "" {
			return problem
		}
	}
	f.isCut = func(int, int) bool { return false }
	f.delay = func() time.Duration { return f.step }
	f.setListedEverywhere()
	f.advance(3 * time.Minute)
	if problem := f.endedWhileRunning(); problem != "" {
		return problem
	}
	return f.disagreement()
}

// TestNeverEndsALiveIncarnation guards against instances that remove a running
// incarnation for good after kills, restarts, pauses, cuts and delayed packets.
// The broken variant ends an incarnation when another member reports a second one at
// its address.
func TestNeverEndsALiveIncarnation(t *testing.T) {
	parameters := func() *gopter.TestParameters {
		p := gopter.DefaultTestParametersWithSeed(1)
		p.Rng = rand.New(rand.NewSource(1))
		p.MinSuccessfulTests = 60
		return p
	}
	properties := gopter.NewProperties(parameters())
	properties.Property("running incarnations never end", liveIncarnationsNeverEnd(nil))
	properties.TestingRun(t)

	broken := rules{supersedes: sentAfterLastSeen, checkIncarnation: func(d *Detector, r *record, m Member, now time.Time) {
		d.end(r.member, now)
		d.add(m, now)
	}}
	if liveIncarnationsNeverEnd(&broken).Check(parameters()).Passed() {
		t.Error("the check passes with a rule by which a report of another member ends an incarnation")
	}
}

// delayedAck delays the ack of a process until a new process has replaced it at its
// address and the pinging instance has added the new incarnation. It returns the wrong
// view that results, "" for none.
func delayedAck(broken *rules) string {
	f := newFleet(1)
	f.rules = broken
	f.start(0)
	f.start(1)
	keepFrom := func(i int) {
		f.inFlight = slices.DeleteFunc(f.inFlight, func(d inFlightPacket) bool {
			return indexOf(d.outgoing.Packet.From.Instance.Peer) != i
		})
	}
	f.advance(f.step)
	keepFrom(0)
	f.advance(f.step)
	keepFrom(1)
	delayed := f.inFlight
	f.inFlight = nil
	f.at(1).running = false
	f.start(1)
	f.advance(DefaultPingTimeout / 2)
	f.inFlight = append(f.inFlight, delayed...)
	f.advance(10 * time.Second)
	if problem := f.endedWhileRunning(); problem != "" {
		return problem
	}
	return f.disagreement()
}

// TestDelayedAckEndsNoIncarnation guards against an ack of a replaced process that
// arrives late and ends the incarnation that now runs at the address.
func TestDelayedAckEndsNoIncarnation(t *testing.T) {
	if problem := delayedAck(nil); problem != "" {
		t.Error(problem)
	}
	broken := rules{checkIncarnation: (*Detector).checkByPing, supersedes: func(time.Time, time.Time) bool { return true }}
	if delayedAck(&broken) == "" {
		t.Error("the check passes with a rule by which the ack of an older ping ends the held incarnation")
	}
}

// TestUnknownStateIsNotHeld guards against members in a state that only another
// version of the software knows: such a state has no name here, so the member must
// not be held or passed on.
func TestUnknownStateIsNotHeld(t *testing.T) {
	member := func(port uint16, s State) Member {
		peer := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		return Member{Instance: lister.Instance{Peer: peer}, Incarnation: 1, State: s}
	}
	now := time.Unix(1000, 0)
	d := New(Options{Self: member(1, Alive), Period: time.Second, Random: rand.New(rand.NewSource(1)).Uint64}, now)
	d.Receive(Packet{Type: Ping, From: member(2, Alive), Updates: []Member{member(3, Alive), member(4, Ended+1)}}, now)
	if n := len(d.Members()); n != 2 {
		t.Errorf("%d members are held, want 2", n)
	}
}

// TestMassRestartCausesFewPacketsBetweenPlaces replays the loss of half of all processes,
// which start again at their addresses. Each instance then doubts the incarnations of
// half of the members of all places. It guards against instances that each ask all of
// them, so that the traffic between places grows with the square of the fleet.
func TestMassRestartCausesFewPacketsBetweenPlaces(t *testing.T) {
	const size, places = 100, 4
	f := newFleet(3, "a", "b", "c", "d")
	f.remotePingPeriods = 60
	for i := range size {
		f.start(i)
	}
	f.advance(20 * time.Second)
	for i := range size / 2 {
		f.kill(2*i + i%2)
	}
	f.advance(500 * time.Millisecond)
	for i := range size / 2 {
		f.start(2*i + i%2)
	}
	f.sent, f.sentRemote = 0, 0
	f.advance(30 * time.Second)
	// Nine of ten packets stay within their place.
	require.Less(t, 10*f.sentRemote, f.sent)
	// Each instance knows which incarnations of its own place run.
	for i := range size {
		for j := i % places; j < size; j += places {
			member := f.at(j).self.identity()
			held := slices.ContainsFunc(f.at(i).Members(), func(m Member) bool { return m.identity() == member && m.State == Alive })
			require.Equal(t, i != j, held, "%d holds %d", i, j)
		}
	}
}

// Replays the loss of 18 of the 26 instances of a zone at once. Guards against survivors that
// still name most of the lost ones when callers ask again (director.CacheTime).
func TestMostOfAMassLossIsKnownAfterTenPeriods(t *testing.T) {
	const survivors, instances = 8, 26
	f := newFleet(1)
	for i := range instances {
		f.start(i)
	}
	f.advance(20 * time.Second)
	for i := survivors; i < instances; i++ {
		f.at(i).running = false
	}
	f.advance(10 * DefaultPeriod)
	named := 0
	for i := range survivors {
		for _, m := range f.at(i).Members() {
			if indexOf(m.Instance.Peer) >= survivors && m.State == Alive {
				named++
			}
		}
	}
	require.LessOrEqual(t, named, survivors*(instances-survivors)/10)
}

// Replays a start of all while the seeds are away for a while. Guards against instances that
// try the seeds ever less often, and so meet nobody for as long again once the seeds are back.
func TestInstancesMeetSoonAfterTheirSeedsAreBack(t *testing.T) {
	const seeds, instances = 3, 20
	f := newFleet(1)
	for i := range instances {
		f.start(i)
	}
	for i := range seeds {
		f.kill(i)
	}
	f.advance(20 * time.Second)
	for i := range seeds {
		f.start(i)
	}
	f.advance(2 * time.Second)
	for i := range instances {
		require.NotEmpty(t, f.at(i).Members(), "instance %d", i)
	}
}
