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
	running     bool
	left        bool
	pausedUntil time.Time
}

// inFlightPacket is a packet that arrives at a time.
type inFlightPacket struct {
	at       time.Time
	outgoing Outgoing
}

// fleet runs detectors in virtual time over a simulated network with delays and
// losses.
type fleet struct {
	now    time.Time
	step   time.Duration
	random *rand.Rand
	places []string
	rules  *rules
	// runs holds the latest run at each address, started holds every run.
	runs     map[netip.AddrPort]*run
	started  []*run
	inFlight []inFlightPacket
	// isCut reports whether the first instance can't send to the second.
	isCut func(a, b int) bool
	delay func() time.Duration
	log   strings.Builder
	sent  int
	// sentTo counts the packets to each address.
	sentTo map[netip.AddrPort]int
}

func newFleet(seed int64, places ...string) *fleet {
	f := &fleet{
		now:    epoch,
		step:   10 * time.Millisecond,
		random: rand.New(rand.NewSource(seed)),
		places: places,
		runs:   map[netip.AddrPort]*run{},
		isCut:  func(int, int) bool { return false },
		sentTo: map[netip.AddrPort]int{},
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

// start starts a new incarnation at an address. Each one has three seeds.
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
	f.started = append(f.started, r)
	return r
}

func (f *fleet) at(i int) *run { return f.runs[addressOf(i)] }

// name returns the name of the run that a member describes.
func (f *fleet) name(m Member) string {
	for _, r := range f.started {
		if r.self.identity() == m.identity() {
			return r.name
		}
	}
	return m.Instance.Peer.String()
}

func (f *fleet) logf(format string, values ...any) {
	fmt.Fprintf(&f.log, "%7.2fs  %s\n", f.now.Sub(epoch).Seconds(), fmt.Sprintf(format, values...))
}

// send sends the packets of a run and logs its changes.
func (f *fleet) send(r *run, packets []Outgoing) {
	for _, o := range packets {
		f.sent++
		f.sentTo[o.To]++
		f.inFlight = append(f.inFlight, inFlightPacket{at: f.now.Add(f.delay()), outgoing: o})
	}
	for _, c := range r.Changes() {
		f.logChange(r, c)
	}
}

func (f *fleet) logChange(r *run, c Change) {
	switch {
	case c.New:
		f.logf("%s adds %s, %s", r.name, f.name(c.Member), c.Member.State)
	case c.Before == c.Member.State:
		f.logf("%s learns that %s is leaving", r.name, f.name(c.Member))
	default:
		f.logf("%s marks %s %s, was %s", r.name, f.name(c.Member), c.Member.State, c.Before)
	}
}

// advance advances the virtual time in steps and runs the due packets and ticks.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(f.step)
		f.deliver()
		for i := range len(f.runs) {
			r := f.at(i)
			if r.running && !f.now.Before(r.pausedUntil) && !f.now.Before(r.NextTick()) {
				f.send(r, r.Tick(f.now))
			}
		}
	}
}

// deliver delivers the packets that are due. Packets to a paused run stay in flight;
// for a packet to an address without a running process the sender gets a failed
// send.
func (f *fleet) deliver() {
	var later []inFlightPacket
	due := f.inFlight
	f.inFlight = nil
	for _, d := range due {
		r := f.runs[d.outgoing.To]
		if f.now.Before(d.at) || r != nil && f.now.Before(r.pausedUntil) {
			later = append(later, d)
			continue
		}
		from := d.outgoing.Packet.From.Instance.Peer
		if f.isCut(indexOf(from), indexOf(d.outgoing.To)) {
			continue
		}
		if r != nil && r.running {
			f.send(r, r.Receive(d.outgoing.Packet, f.now))
			continue
		}
		if sender := f.runs[from]; sender.running && !f.now.Before(sender.pausedUntil) {
			f.send(sender, sender.SendFailed(d.outgoing.Packet, f.now))
		}
	}
	f.inFlight = append(later, f.inFlight...)
}

func (f *fleet) kill(i int) {
	f.logf("-- %s is killed", f.at(i).name)
	f.at(i).running = false
}

// setListedEverywhere gives every run a published list of all addresses, running or
// not. Without the list, two instances can't find each other once none of their
// seeds runs.
func (f *fleet) setListedEverywhere() {
	var listed []netip.AddrPort
	for i := range len(f.runs) {
		listed = append(listed, addressOf(i))
	}
	for _, r := range f.started {
		if r.running {
			r.SetListed(listed, f.now)
		}
	}
}

// endedWhileRunning describes a running incarnation that some instance holds as ended
// for good; it returns "" when there is none.
func (f *fleet) endedWhileRunning() string {
	live := map[identity]*run{}
	for _, r := range f.started {
		if r.running && !r.left {
			live[r.self.identity()] = r
		}
	}
	for _, r := range f.started {
		for i := range r.ended {
			if other := live[i]; other != nil {
				return fmt.Sprintf("%s holds %s as ended, but it runs", r.name, other.name)
			}
		}
	}
	return ""
}

// disagreement describes a running instance whose view is wrong: it must hold exactly
// the other running instances as alive. It returns "" when all views are right.
func (f *fleet) disagreement() string {
	for i := range len(f.runs) {
		r := f.at(i)
		if !r.running {
			continue
		}
		for j := range len(f.runs) {
			o := f.at(j)
			held := slices.ContainsFunc(r.Members(), func(m Member) bool {
				return m.identity() == o.self.identity() && m.State == Alive
			})
			if i != j && held != o.running {
				return fmt.Sprintf("%s holds %s as alive: %t, want %t", r.name, o.name, held, o.running)
			}
		}
	}
	return ""
}
