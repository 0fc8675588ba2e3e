package detector

import (
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"strings"
	"time"

	"oriolecourse.example/oriolecourse/internal/version/lister"
)

var epoch = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// run is one process of an instance.
type run struct {
	name string
	*Detector
	running  bool
	farewell bool
	paused   time.Time
}

// delivery is a packet under way.
type delivery struct {
	at     time.Time
	action Outgoing
}

// fleet drives detectors with virtual time over a network that delays and loses.
type fleet struct {
	now    time.Time
	step   time.Duration
	random *rand.Rand
	places []string
	rules  *rules
	// runs holds the latest process of each address, all every process.
	runs map[netip.AddrPort]*run
	all  []*run
	wire []delivery
	// cut reports whether two addresses cannot reach each other.
	cut   func(a, b int) bool
	delay func() time.Duration
	log   strings.Builder
	sent  int
	// tries counts the packets to each address.
	tries map[netip.AddrPort]int
}

func newFleet(seed int64, places ...string) *fleet {
	f := &fleet{
		now:    epoch,
		step:   10 * time.Millisecond,
		random: rand.New(rand.NewSource(seed)),
		places: places,
		runs:   map[netip.AddrPort]*run{},
		cut:    func(int, int) bool { return false },
		tries:  map[netip.AddrPort]int{},
	}
	f.delay = func() time.Duration { return f.step }
	return f
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func indexOf(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[2])<<8 | int(b[3])
}

// start runs a new incarnation at an address; every run knows three seeds.
func (f *fleet) start(i int) *run {
	a := addressOf(i)
	place := "himal"
	if len(f.places) > 0 {
		place = f.places[i%len(f.places)]
	}
	r := &run{name: fmt.Sprintf("n%d", i), running: true}
	if before := f.runs[a]; before != nil {
		r.name = before.name + "'"
	}
	r.Detector = New(Options{
		Self: Member{
			Instance:    lister.Instance{Address: a, Peer: a, Place: place, Zone: "a", State: lister.Live},
			Incarnation: f.random.Uint64() | 1,
		},
		Seeds:            []netip.AddrPort{addressOf(0), addressOf(1), addressOf(2)},
		Period:           DefaultPeriod,
		PingTimeout:      DefaultPingTimeout,
		SuspicionTimeout: DefaultSuspicionTimeout,
		ForgetAfter:      DefaultForgetAfter,
		Random:           f.random.Uint64,
	}, f.now)
	if f.rules != nil {
		r.Detector.rules = *f.rules
	}
	f.runs[a] = r
	f.all = append(f.all, r)
	return r
}

func (f *fleet) at(i int) *run { return f.runs[addressOf(i)] }

// name returns the name of a member's run.
func (f *fleet) name(m Member) string {
	for _, r := range f.all {
		if r.self.identity() == m.identity() {
			return r.name
		}
	}
	return m.Instance.Peer.String()
}

func (f *fleet) note(format string, values ...any) {
	fmt.Fprintf(&f.log, "%7.2fs  %s\n", f.now.Sub(epoch).Seconds(), fmt.Sprintf(format, values...))
}

// send puts packets on the wire.
func (f *fleet) send(r *run, actions []Outgoing) {
	for _, a := range actions {
		f.sent++
		f.tries[a.To]++
		f.wire = append(f.wire, delivery{at: f.now.Add(f.delay()), action: a})
	}
	for _, c := range r.Changes() {
		f.record(r, c)
	}
}

func (f *fleet) record(r *run, c Change) {
	switch {
	case c.New:
		f.note("%s meets %s, %s", r.name, f.name(c.Member), c.Member.State)
	case c.Before == c.Member.State:
		f.note("%s hears that %s is leaving", r.name, f.name(c.Member))
	default:
		f.note("%s believes %s %s, was %s", r.name, f.name(c.Member), c.Member.State, c.Before)
	}
}

// advance lets time pass.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(f.step)
		f.deliver()
		for i := range len(f.runs) {
			r := f.at(i)
			if r.running && !f.now.Before(r.paused) && !f.now.Before(r.NextTick()) {
				f.send(r, r.Tick(f.now))
			}
		}
	}
}

// deliver hands over the packets that have arrived. Those to a paused process
// wait for it; a ping to an address without a process is refused.
func (f *fleet) deliver() {
	var later []delivery
	due := f.wire
	f.wire = nil
	for _, d := range due {
		r := f.runs[d.action.To]
		if f.now.Before(d.at) || r != nil && f.now.Before(r.paused) {
			later = append(later, d)
			continue
		}
		from := d.action.Packet.From.Instance.Peer
		if f.cut(indexOf(from), indexOf(d.action.To)) {
			continue
		}
		if r != nil && r.running {
			f.send(r, r.Receive(d.action.Packet, f.now))
			continue
		}
		if sender := f.runs[from]; sender.running && !f.now.Before(sender.paused) {
			f.send(sender, sender.SendFailed(d.action.Packet, f.now))
		}
	}
	f.wire = append(later, f.wire...)
}

func (f *fleet) kill(i int) {
	f.note("-- %s is killed", f.at(i).name)
	f.at(i).running = false
}

// list gives every run the published list: each address, running or not. Without
// it, two instances whose seeds have all gone cannot know of each other.
func (f *fleet) list() {
	var listed []netip.AddrPort
	for i := range len(f.runs) {
		listed = append(listed, addressOf(i))
	}
	for _, r := range f.all {
		if r.running {
			r.SetListed(listed, f.now)
		}
	}
}

// wrongly returns a description of a live incarnation that some instance holds
// to have ended for good.
func (f *fleet) wrongly() string {
	live := map[identity]*run{}
	for _, r := range f.all {
		if r.running && !r.farewell {
			live[r.self.identity()] = r
		}
	}
	for _, r := range f.all {
		for i := range r.ended {
			if other := live[i]; other != nil {
				return fmt.Sprintf("%s holds that %s has ended, which runs", r.name, other.name)
			}
		}
	}
	return ""
}

// whole reports whether all running instances believe each other alive.
func (f *fleet) whole() string {
	for i := range len(f.runs) {
		r := f.at(i)
		if !r.running {
			continue
		}
		for j := range len(f.runs) {
			o := f.at(j)
			believed := slices.ContainsFunc(r.Members(), func(m Member) bool {
				return m.identity() == o.self.identity() && m.State == Alive
			})
			if i != j && believed != o.running {
				return fmt.Sprintf("%s believes %s alive: %t, it runs: %t", r.name, o.name, believed, o.running)
			}
		}
	}
	return ""
}
