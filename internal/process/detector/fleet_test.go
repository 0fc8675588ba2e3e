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

// startTime is the virtual time at which every fleet starts.
var startTime = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// process is one process of an instance: one incarnation.
type process struct {
	name string
	*Detector
	running bool
	// left is set once the process has sent its leave messages.
	left        bool
	pausedUntil time.Time
}

// inFlightPacket is a packet on the simulated network; it arrives at the time at.
type inFlightPacket struct {
	at       time.Time
	outgoing Outgoing
}

// fleet runs detectors in virtual time over a simulated network with delays and
// losses.
type fleet struct {
	now time.Time
	// step is the resolution of the virtual time: advance moves now step by step.
	step   time.Duration
	random *rand.Rand
	places []string
	// remotePingPeriods replaces the default of the option if it is set.
	remotePingPeriods uint64
	// rules replaces the rules of all detectors if it is set.
	rules *rules
	// latest holds the latest process at each address; started holds every process.
	latest   map[netip.AddrPort]*process
	started  []*process
	inFlight []inFlightPacket
	// isCut reports whether the first instance can't send to the second.
	isCut func(a, b int) bool
	// delay returns the time that the next packet takes to its receiver.
	delay func() time.Duration
	log   strings.Builder
	// sent counts all packets, sentRemote those to another place; sentTo counts the
	// packets to each address.
	sent       int
	sentRemote int
	sentTo     map[netip.AddrPort]int
}

func newFleet(seed int64, places ...string) *fleet {
	f := &fleet{
		now:    startTime,
		step:   10 * time.Millisecond,
		random: rand.New(rand.NewSource(seed)),
		places: places,
		latest: map[netip.AddrPort]*process{},
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

// start starts a new process at the address of instance i. Each process has three
// seeds.
func (f *fleet) start(i int) *process {
	a := addressOf(i)
	place := "himal"
	if len(f.places) > 0 {
		place = f.places[i%len(f.places)]
	}
	p := &process{name: fmt.Sprintf("n%d", i), running: true}
	if before := f.latest[a]; before != nil {
		p.name = before.name + "'"
	}
	p.Detector = New(Options{
		Self: Member{
			Instance:    lister.Instance{Address: a, Peer: a, Place: place, Zone: "a", State: lister.Live},
			Incarnation: f.random.Uint64() | 1,
		},
		Seeds:             []netip.AddrPort{addressOf(0), addressOf(1), addressOf(2)},
		Period:            DefaultPeriod,
		PingTimeout:       DefaultPingTimeout,
		SuspicionTimeout:  DefaultSuspicionTimeout,
		RemotePingPeriods: f.remotePingPeriods,
		ForgetAfter:       DefaultForgetAfter,
		Random:            f.random.Uint64,
	}, f.now)
	if f.rules != nil {
		p.Detector.rules = *f.rules
	}
	f.latest[a] = p
	f.started = append(f.started, p)
	return p
}

func (f *fleet) at(i int) *process { return f.latest[addressOf(i)] }

// name returns the name of the process that a member describes.
func (f *fleet) name(m Member) string {
	for _, p := range f.started {
		if p.self.identity() == m.identity() {
			return p.name
		}
	}
	return m.Instance.Peer.String()
}

func (f *fleet) logf(format string, values ...any) {
	fmt.Fprintf(&f.log, "%7.2fs  %s\n", f.now.Sub(startTime).Seconds(), fmt.Sprintf(format, values...))
}

// send sends the packets of a process and logs the changes of its view.
func (f *fleet) send(p *process, packets []Outgoing) {
	for _, o := range packets {
		f.sent++
		f.sentTo[o.To]++
		if len(f.places) > 0 && indexOf(o.To)%len(f.places) != indexOf(p.self.Instance.Peer)%len(f.places) {
			f.sentRemote++
		}
		f.inFlight = append(f.inFlight, inFlightPacket{at: f.now.Add(f.delay()), outgoing: o})
	}
	for _, c := range p.Changes() {
		f.logChange(p, c)
	}
}

func (f *fleet) logChange(p *process, c Change) {
	switch {
	case c.New:
		f.logf("%s adds %s, %s", p.name, f.name(c.Member), c.Member.State)
	case c.Before == c.Member.State:
		f.logf("%s learns that %s is leaving", p.name, f.name(c.Member))
	default:
		f.logf("%s marks %s %s, was %s", p.name, f.name(c.Member), c.Member.State, c.Before)
	}
}

// advance advances the virtual time in steps and runs the due packets and ticks.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(f.step)
		f.deliver()
		for i := range len(f.latest) {
			p := f.at(i)
			if p.running && !f.now.Before(p.pausedUntil) && !f.now.Before(p.NextTick()) {
				f.send(p, p.Tick(f.now))
			}
		}
	}
}

// deliver delivers the packets that are due. Packets to a paused process stay in
// flight. The sender of a packet to an address without a running process gets a
// failed send.
func (f *fleet) deliver() {
	var later []inFlightPacket
	due := f.inFlight
	f.inFlight = nil
	for _, d := range due {
		p := f.latest[d.outgoing.To]
		if f.now.Before(d.at) || p != nil && f.now.Before(p.pausedUntil) {
			later = append(later, d)
			continue
		}
		from := d.outgoing.Packet.From.Instance.Peer
		if f.isCut(indexOf(from), indexOf(d.outgoing.To)) {
			continue
		}
		if p != nil && p.running {
			f.send(p, p.Receive(d.outgoing.Packet, f.now))
			continue
		}
		if sender := f.latest[from]; sender.running && !f.now.Before(sender.pausedUntil) {
			f.send(sender, sender.SendFailed(d.outgoing.Packet, f.now))
		}
	}
	f.inFlight = append(later, f.inFlight...)
}

func (f *fleet) kill(i int) {
	f.logf("-- %s is killed", f.at(i).name)
	f.at(i).running = false
}

// setListedEverywhere gives every running process a published list of all addresses,
// whether a process runs there or not. Without the list, two instances can't find
// each other once none of their seeds runs.
func (f *fleet) setListedEverywhere() {
	var listed []netip.AddrPort
	for i := range len(f.latest) {
		listed = append(listed, addressOf(i))
	}
	for _, p := range f.started {
		if p.running {
			p.SetListed(listed, f.now)
		}
	}
}

// endedWhileRunning describes a running incarnation that some instance holds as ended
// for good. It returns "" when there is none.
func (f *fleet) endedWhileRunning() string {
	live := map[identity]*process{}
	for _, p := range f.started {
		if p.running && !p.left {
			live[p.self.identity()] = p
		}
	}
	for _, p := range f.started {
		for i := range p.ended {
			if other := live[i]; other != nil {
				return fmt.Sprintf("%s holds %s as ended, but it runs", p.name, other.name)
			}
		}
	}
	return ""
}

// disagreement describes a running instance whose view is wrong: it must hold exactly
// the other running instances as alive. It returns "" when all views are right.
func (f *fleet) disagreement() string {
	for i := range len(f.latest) {
		p := f.at(i)
		if !p.running {
			continue
		}
		for j := range len(f.latest) {
			o := f.at(j)
			held := slices.ContainsFunc(p.Members(), func(m Member) bool {
				return m.identity() == o.self.identity() && m.State == Alive
			})
			if i != j && held != o.running {
				return fmt.Sprintf("%s holds %s as alive: %t, want %t", p.name, o.name, held, o.running)
			}
		}
	}
	return ""
}
