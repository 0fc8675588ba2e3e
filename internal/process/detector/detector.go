package detector

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// helpers is the number of members asked to ping one that did not answer.
	helpers = 3
	// helpersRemote is the number of those asked in the place of the member, when
	// that is another place.
	helpersRemote = 1
	// fanout is the number of members told at once of the instance's own leaving.
	fanout = 4
	// retryEvery is the number of periods between pings to failed members.
	retryEvery = 10
	// extraPings bounds the pings sent in one period to check claims.
	extraPings = 2
	// slept is the number of periods without a tick after which the instance
	// concludes that it was itself paused.
	slept = 3
)

// record is what is known of the incarnation held for an address.
type record struct {
	member Member
	// heard is the time of the latest sign of the incarnation, direct or told.
	heard time.Time
	// since is the time of the last change of state.
	since time.Time
	// summary is the member's part of the digest.
	summary uint64
	// own is set while this instance's own ping raised the suspicion.
	own bool
}

// ping is a ping without an answer yet.
type ping struct {
	to netip.AddrPort
	// incarnation is the incarnation held for the address when it was sent; 0 is none.
	incarnation uint64
	sent        time.Time
	// deadline is when the next stage starts.
	deadline time.Time
	// relayed is set once helpers were asked.
	relayed bool
	// origin is the member that asked for the ping, with its own sequence number;
	// it is not valid for the instance's own pings.
	origin   netip.AddrPort
	sequence uint64
}

// Detector holds one instance's belief of the fleet. It is not safe for
// concurrent use.
type Detector struct {
	options Options
	self    Member

	// records holds one incarnation per address, in the order of addresses.
	records map[netip.AddrPort]*record
	order   []netip.AddrPort
	// ended remembers incarnations that never come back.
	ended map[identity]time.Time
	// candidates are addresses to try that no member is known at.
	candidates map[netip.AddrPort]*candidate
	listed     []netip.AddrPort
	rules      rules

	pings    map[uint64]*ping
	sequence uint64
	local    round
	remote   round
	failed   round
	// claims are addresses to ping soon, in the order of their arrival.
	claims []netip.AddrPort

	updates []update
	changes []Change
	digest  uint64

	periods   uint64
	next      time.Time
	ticked    time.Time
	synced    time.Time
	forgotten time.Time
}

// New returns a detector that knows only itself.
func New(o Options, now time.Time) *Detector {
	if o.RemotePingPeriods == 0 {
		o.RemotePingPeriods = DefaultRemotePingPeriods
	}
	d := &Detector{
		options:    o,
		self:       o.Self,
		records:    map[netip.AddrPort]*record{},
		ended:      map[identity]time.Time{},
		candidates: map[netip.AddrPort]*candidate{},
		pings:      map[uint64]*ping{},
		rules:      rules{supersedes: answeredLater, conflict: (*Detector).claimConflict},
		next:       now,
		ticked:     now,
		forgotten:  now,
	}
	d.sequence = o.Random()
	d.summarize()
	d.SetListed(nil, now)
	return d
}

// Self returns the instance's own member.
func (d *Detector) Self() Member { return d.self }

// Members returns the other members in the order of their addresses.
func (d *Detector) Members() []Member {
	members := make([]Member, 0, len(d.order))
	for _, a := range d.order {
		members = append(members, d.records[a].member)
	}
	return members
}

// Changes returns the changes since the last call.
func (d *Detector) Changes() []Change {
	changes := d.changes
	d.changes = nil
	return changes
}

// NextTick returns the time by which Tick has to be called.
func (d *Detector) NextTick() time.Time {
	wake := d.next
	for _, p := range d.pings {
		if p.deadline.Before(wake) {
			wake = p.deadline
		}
	}
	return wake
}

// Tick advances the time and returns the packets to send.
func (d *Detector) Tick(now time.Time) []Outgoing {
	d.wakeUp(now)
	actions := d.expirePings(now)
	if now.Before(d.next) {
		return actions
	}
	d.next = now.Add(d.options.Period)
	d.periods++
	d.expireSuspects(now)
	d.forget(now)
	return append(actions, d.period(now)...)
}

// wakeUp takes back what the instance would wrongly conclude from its own
// pause: pings that could not be answered and suspicions that could not be
// refuted meanwhile.
func (d *Detector) wakeUp(now time.Time) {
	gap := now.Sub(d.ticked)
	d.ticked = now
	if gap < slept*d.options.Period {
		return
	}
	clear(d.pings)
	for _, r := range d.records {
		if r.member.State == Suspect {
			r.since = now
		}
	}
}

// expirePings asks helpers about pings without an answer, then suspects.
func (d *Detector) expirePings(now time.Time) []Outgoing {
	var late []uint64
	for s, p := range d.pings {
		if !now.Before(p.deadline) {
			late = append(late, s)
		}
	}
	slices.Sort(late)
	var actions []Outgoing
	for _, s := range late {
		actions = append(actions, d.expire(s, now)...)
	}
	return actions
}

// expire moves one ping to its next stage.
func (d *Detector) expire(sequence uint64, now time.Time) []Outgoing {
	p := d.pings[sequence]
	r := d.records[p.to]
	watched := !p.origin.IsValid() && r != nil && r.member.Incarnation == p.incarnation && r.member.State <= Suspect
	if !watched {
		delete(d.pings, sequence)
		return nil
	}
	if !p.relayed {
		p.relayed = true
		p.deadline = p.sent.Add(d.options.Period)
		if p.deadline.Before(now) {
			p.deadline = now.Add(d.options.PingTimeout)
		}
		return d.requests(sequence, p)
	}
	delete(d.pings, sequence)
	r.own = true
	if r.member.State == Alive {
		d.set(r, Suspect, now)
		d.enqueue(r.member)
	}
	return nil
}

// SendFailed tells that a packet could not be sent, so that a ping need not
// wait for its timeout.
func (d *Detector) SendFailed(p Packet, now time.Time) []Outgoing {
	waiting := d.pings[p.Sequence]
	if p.Type != Ping || waiting == nil || waiting.relayed {
		return nil
	}
	return d.expire(p.Sequence, now)
}

func (d *Detector) expireSuspects(now time.Time) {
	for _, a := range d.order {
		r := d.records[a]
		if r.member.State == Suspect && now.Sub(r.since) >= d.options.SuspicionTimeout {
			d.set(r, Failed, now)
		}
	}
}

// StartLeaving tells the others that the instance takes no new callers.
func (d *Detector) StartLeaving(now time.Time) []Outgoing {
	if !d.self.Leaving {
		d.self.Leaving = true
		d.self.Revision++
		d.summarize()
		d.enqueue(d.self)
	}
	return d.pingSome(now)
}

// FinishLeaving ends the instance's own incarnation for good.
func (d *Detector) FinishLeaving(now time.Time) []Outgoing {
	d.self.State = Ended
	d.self.Revision++
	return d.pingSome(now)
}

func (d *Detector) pingSome(now time.Time) []Outgoing {
	var actions []Outgoing
	for _, a := range d.pick(fanout, func(r *record) bool { return r.member.State <= Suspect }) {
		actions = append(actions, d.ping(a, now))
	}
	return actions
}

// ping sends a ping to an address. A member that is not alive is told so, which
// lets it refute.
func (d *Detector) ping(to netip.AddrPort, now time.Time) Outgoing {
	d.sequence++
	p := &ping{to: to, sent: now, deadline: now.Add(d.options.PingTimeout)}
	packet := d.packet(Ping, d.sequence)
	if r := d.records[to]; r != nil {
		p.incarnation = r.member.Incarnation
		if r.member.State != Alive {
			told := r.member
			told.State = Suspect
			packet.Updates = append(packet.Updates, told)
		}
	}
	d.pings[d.sequence] = p
	return Outgoing{To: to, Packet: packet}
}

// requests asks helpers to ping a member: those of its place, and for a member
// of another place mostly others, since a cut between two places leaves only
// those who can reach both.
func (d *Detector) requests(sequence uint64, p *ping) []Outgoing {
	place := d.records[p.to].member.Instance.Place
	near := func(r *record) bool {
		return r.member.State == Alive && r.member.Instance.Peer != p.to && r.member.Instance.Place == place
	}
	far := func(r *record) bool {
		return r.member.State == Alive && r.member.Instance.Place != place
	}
	nearest := helpers
	if place != d.self.Instance.Place {
		nearest = helpersRemote
	}
	chosen := d.pick(nearest, near)
	chosen = append(chosen, d.pick(helpers-len(chosen), far)...)
	var actions []Outgoing
	for _, a := range chosen {
		packet := d.packet(PingRequest, sequence)
		packet.PingAddress = p.to
		actions = append(actions, Outgoing{To: a, Packet: packet})
	}
	return actions
}
