package detector

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// helperCount is the number of members that are asked to ping a member whose ack
	// is missing.
	helperCount = 3
	// helpersInRemotePlace is the number of helpers from the place of the pinged
	// member when this instance is in another place.
	helpersInRemotePlace = 1
	// announceCount is the number of members pinged at once when the instance leaves.
	announceCount = 4
	// failedPingPeriods is the number of periods between pings to failed members.
	failedPingPeriods = 10
	// maxCheckPings bounds the pings sent in one period to find out which
	// incarnation runs at an address of this place.
	maxCheckPings = 2
	// remoteCheckPeriods times the number of members of this place is the number of
	// periods between two such pings to other places. When many instances restart, all
	// members of the other places have the same questions. A place thus asks as often
	// whatever its size, and its members learn the answers from each other.
	remoteCheckPeriods = 2
	// smallPlaceSize is the number of members of a place from which its members ping
	// other places less often, so that the place as a whole pings them no more often.
	smallPlaceSize = 16
	// pausePeriods is the number of periods without a tick after which the instance
	// assumes that its own process was paused.
	pausePeriods = 3
)

// record is the state held for the incarnation at one address.
type record struct {
	member Member
	// lastSeen is the time of the latest sign of the incarnation, from itself or
	// from another member.
	lastSeen time.Time
	// stateSince is the time of the last change of state. For a suspect it is the end
	// of the latest pause of this process if that is later.
	stateSince time.Time
	// hash is the member's share of the digest.
	hash uint64
	// suspectedByOwnPing is set when a ping of this instance went without an ack, until
	// the suspicion ends.
	suspectedByOwnPing bool
}

// pendingPing is a ping without an ack so far.
type pendingPing struct {
	to netip.AddrPort
	// incarnation is the one held for the address at the time of sending; 0 is none.
	incarnation uint64
	sent        time.Time
	// deadline is the time at which helpers are asked or, after that, the member
	// becomes suspect.
	deadline     time.Time
	helpersAsked bool
	// requester is the member that asked this instance to ping, with the sequence
	// number of its request; it is not valid for the instance's own pings.
	requester         netip.AddrPort
	requesterSequence uint64
}

// check is the question which incarnation runs at an address, at which the member was
// held when the question came up.
type check struct {
	member identity
	state  State
	remote bool
}

// Detector holds one instance's view of the fleet. It is not safe for concurrent
// use.
type Detector struct {
	options Options
	self    Member

	// records holds one incarnation per address.
	records map[netip.AddrPort]*record
	// order holds the keys of records, sorted.
	order []netip.AddrPort
	// ended holds the incarnations that ended for good and when that became known.
	ended map[identity]time.Time
	// candidates holds the addresses to try at which no member is known.
	candidates map[netip.AddrPort]*candidate
	// listed holds the addresses of the published list.
	listed []netip.AddrPort
	rules  rules

	pending     map[uint64]*pendingPing
	sequence    uint64
	localRound  round
	remoteRound round
	failedRound round
	// checks queues the questions which incarnation runs at an address.
	checks []check
	// lastRemoteCheck is the period of the last check of another place.
	lastRemoteCheck uint64

	updates []update
	changes []Change
	digest  uint64

	periods uint64
	// nextRemotePing is the period of the next ping to another place.
	nextRemotePing uint64
	nextPeriod     time.Time
	lastTick       time.Time
	lastSync       time.Time
	lastForget     time.Time
}

// New returns a detector whose only member is the instance itself.
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
		pending:    map[uint64]*pendingPing{},
		rules:      rules{supersedes: sentAfterLastSeen, checkIncarnation: (*Detector).checkByPing},
		nextPeriod: now,
		// A starting instance learns of other places from its own.
		nextRemotePing: o.RemotePingPeriods,
		lastTick:       now,
		lastForget:     now,
	}
	d.sequence = o.Random()
	d.updateDigest()
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

// Changes returns the changes since the last call and clears them.
func (d *Detector) Changes() []Change {
	changes := d.changes
	d.changes = nil
	return changes
}

// NextTick returns the time by which Tick has to be called.
func (d *Detector) NextTick() time.Time {
	next := d.nextPeriod
	for _, p := range d.pending {
		if p.deadline.Before(next) {
			next = p.deadline
		}
	}
	return next
}

// Tick handles the timeouts up to now and returns the packets to send.
func (d *Detector) Tick(now time.Time) []Outgoing {
	d.handlePause(now)
	packets := d.expirePings(now)
	if now.Before(d.nextPeriod) {
		return packets
	}
	d.nextPeriod = now.Add(d.options.Period)
	d.periods++
	d.expireSuspects(now)
	d.forget(now)
	return append(packets, d.pingPeriod(now)...)
}

// handlePause drops the pending pings and restarts the suspicions after a pause of
// the instance's own process. Acks and refutations could not arrive during the pause,
// so the instance must not conclude from their absence that other members failed.
func (d *Detector) handlePause(now time.Time) {
	gap := now.Sub(d.lastTick)
	d.lastTick = now
	if gap < pausePeriods*d.options.Period {
		return
	}
	clear(d.pending)
	for _, r := range d.records {
		if r.member.State == Suspect {
			r.stateSince = now
		}
	}
}

// expirePings moves each ping that is past its deadline to its next stage.
func (d *Detector) expirePings(now time.Time) []Outgoing {
	var expired []uint64
	for s, p := range d.pending {
		if !now.Before(p.deadline) {
			expired = append(expired, s)
		}
	}
	slices.Sort(expired)
	var packets []Outgoing
	for _, s := range expired {
		packets = append(packets, d.expire(s, now)...)
	}
	return packets
}

// expire moves one ping to its next stage: it asks helpers first, then marks the
// member suspect.
func (d *Detector) expire(sequence uint64, now time.Time) []Outgoing {
	p := d.pending[sequence]
	r := d.records[p.to]
	relevant := !p.requester.IsValid() && r != nil && r.member.Incarnation == p.incarnation && r.member.State <= Suspect
	if !relevant {
		delete(d.pending, sequence)
		return nil
	}
	if !p.helpersAsked {
		p.helpersAsked = true
		p.deadline = p.sent.Add(d.options.Period)
		if p.deadline.Before(now) {
			p.deadline = now.Add(d.options.PingTimeout)
		}
		return d.pingRequests(sequence, p)
	}
	delete(d.pending, sequence)
	r.suspectedByOwnPing = true
	if r.member.State == Alive {
		d.setState(r, Suspect, now)
		d.enqueue(r.member)
	}
	return nil
}

// SendFailed handles a packet that could not be sent: a ping moves to its next
// stage without waiting for its timeout. It returns the packets to send.
func (d *Detector) SendFailed(p Packet, now time.Time) []Outgoing {
	ping := d.pending[p.Sequence]
	if p.Type != Ping || ping == nil || ping.helpersAsked {
		return nil
	}
	return d.expire(p.Sequence, now)
}

// expireSuspects marks members failed that have been suspect for SuspicionTimeout.
func (d *Detector) expireSuspects(now time.Time) {
	for _, a := range d.order {
		r := d.records[a]
		if r.member.State == Suspect && now.Sub(r.stateSince) >= d.options.SuspicionTimeout {
			d.setState(r, Failed, now)
		}
	}
}

// StartLeaving marks the instance as leaving, so that it gets no new callers, and
// returns pings that announce it.
func (d *Detector) StartLeaving(now time.Time) []Outgoing {
	if !d.self.Leaving {
		d.self.Leaving = true
		d.self.Revision++
		d.updateDigest()
		d.enqueue(d.self)
	}
	return d.announce(now)
}

// SetCutOff records whether the instance can reach no target, and returns pings that
// announce it.
func (d *Detector) SetCutOff(cutOff bool, now time.Time) []Outgoing {
	if d.self.CutOff == cutOff {
		return nil
	}
	d.self.CutOff = cutOff
	d.self.Revision++
	d.updateDigest()
	d.enqueue(d.self)
	return d.announce(now)
}

// FinishLeaving ends the instance's own incarnation for good and returns the leave
// messages.
func (d *Detector) FinishLeaving(now time.Time) []Outgoing {
	d.self.State = Ended
	d.self.Revision++
	return d.announce(now)
}

// announce pings a few alive or suspect members: each packet carries the state of
// its sender.
func (d *Detector) announce(now time.Time) []Outgoing {
	var packets []Outgoing
	for _, a := range d.pick(announceCount, func(r *record) bool { return r.member.State <= Suspect }) {
		packets = append(packets, d.newPing(a, now))
	}
	return packets
}

// newPing registers a ping to an address and returns its packet. A ping to a member
// that is not alive carries the suspicion, so that the member can refute it.
func (d *Detector) newPing(to netip.AddrPort, now time.Time) Outgoing {
	d.sequence++
	p := &pendingPing{to: to, sent: now, deadline: now.Add(d.options.PingTimeout)}
	packet := d.packet(Ping, d.sequence)
	if r := d.records[to]; r != nil {
		p.incarnation = r.member.Incarnation
		if r.member.State != Alive {
			suspicion := r.member
			suspicion.State = Suspect
			packet.Updates = append(packet.Updates, suspicion)
		}
	}
	d.pending[d.sequence] = p
	return Outgoing{To: to, Packet: packet}
}

// pingRequests asks helpers to ping a member. For a member of this place they come
// from this place if it has enough alive members. For a member of another place one
// comes from there and the rest from other places: after a partition between two
// places only members that still reach both can help.
func (d *Detector) pingRequests(sequence uint64, p *pendingPing) []Outgoing {
	place := d.records[p.to].member.Instance.Place
	inPlace := func(r *record) bool {
		return r.member.State == Alive && r.member.Instance.Peer != p.to && r.member.Instance.Place == place
	}
	elsewhere := func(r *record) bool {
		return r.member.State == Alive && r.member.Instance.Place != place
	}
	n := helperCount
	if place != d.self.Instance.Place {
		n = helpersInRemotePlace
	}
	chosen := d.pick(n, inPlace)
	chosen = append(chosen, d.pick(helperCount-len(chosen), elsewhere)...)
	var packets []Outgoing
	for _, a := range chosen {
		packet := d.packet(PingRequest, sequence)
		packet.PingAddress = p.to
		packets = append(packets, Outgoing{To: a, Packet: packet})
	}
	return packets
}
