package detector

import (
	"net/netip"
	"slices"
	"time"
)

// rules holds the decisions that keep a live incarnation from being ended. Tests
// replace them with broken variants.
type rules struct {
	// supersedes reports whether an ack from one incarnation ends another one at the
	// same address: sent is the time of the acked ping, lastSeen the time of the
	// latest sign of the other incarnation.
	supersedes func(sent, lastSeen time.Time) bool
	// checkIncarnation handles a statement about another incarnation than the one held.
	// It must not end the one held: only a leave message or an ack may do that.
	checkIncarnation func(d *Detector, r *record, m Member, now time.Time)
}

// sentAfterLastSeen accepts only the ack of a ping that was sent after the latest
// sign of the other incarnation: one process at a time listens at an address, so
// the incarnation that acks is the later one.
func sentAfterLastSeen(sent, lastSeen time.Time) bool { return sent.After(lastSeen) }

// checkByPing schedules a ping to find out which incarnation runs.
func (d *Detector) checkByPing(r *record, _ Member, _ time.Time) {
	d.scheduleCheck(r.member.Instance.Peer)
}

// applyAck applies the ack of a ping of this instance. It reports whether the
// member was failed until now.
func (d *Detector) applyAck(m Member, p *pendingPing, now time.Time) bool {
	r := d.records[m.Instance.Peer]
	if r != nil && r.member.Incarnation != m.Incarnation {
		if d.HasEnded(m.Instance.Peer, m.Incarnation) {
			return false
		}
		if !d.rules.supersedes(p.sent, r.lastSeen) {
			d.scheduleCheck(m.Instance.Peer)
			return false
		}
		d.end(r.member, now)
	}
	if !d.applySender(m, now) {
		return false
	}
	r = d.records[m.Instance.Peer]
	recovered := r.member.State == Failed
	d.markAlive(r, now)
	return recovered
}

// applySender applies the statement of a packet's sender about itself. It reports
// whether that incarnation is held afterwards.
func (d *Detector) applySender(m Member, now time.Time) bool {
	if m.State == Ended {
		d.end(m, now)
		return false
	}
	m.State = Alive
	d.apply(m, now)
	r := d.records[m.Instance.Peer]
	if r == nil || r.member.Incarnation != m.Incarnation {
		return false
	}
	if r.member.State == Failed {
		d.scheduleCheck(m.Instance.Peer)
	}
	return true
}

// applyAll applies statements about members. Ended incarnations go first, so that a
// new incarnation from the same packet is added at once.
func (d *Detector) applyAll(members []Member, now time.Time) {
	for _, m := range members {
		if m.State == Ended {
			d.apply(m, now)
		}
	}
	for _, m := range members {
		if m.State != Ended {
			d.apply(m, now)
		}
	}
}

// apply applies one statement about a member.
func (d *Detector) apply(m Member, now time.Time) {
	address := m.Instance.Peer
	if address == d.self.Instance.Peer {
		d.refute(m)
		return
	}
	if m.State > Ended || m.Incarnation == 0 || !address.IsValid() || d.HasEnded(m.Instance.Peer, m.Incarnation) {
		return
	}
	if m.State == Ended {
		d.end(m, now)
		return
	}
	r := d.records[address]
	if r == nil {
		d.add(m, now)
		return
	}
	if r.member.Incarnation != m.Incarnation {
		d.rules.checkIncarnation(d, r, m, now)
		return
	}
	d.merge(r, m, now)
}

// refute refutes a suspicion of the instance itself by a higher revision.
func (d *Detector) refute(m Member) {
	if m.Incarnation != d.self.Incarnation || m.State == Alive || m.Revision < d.self.Revision {
		return
	}
	d.self.Revision = m.Revision + 1
	d.enqueue(d.self)
}

// merge applies a statement about the incarnation that is held. Leaving stays set
// once it is set. CutOff is that of the highest revision. A statement that the member is alive makes it alive only if the
// revision is higher than the one held; otherwise it only schedules a check of a
// failed member. A suspicion applies to an alive member unless the revision is lower
// than the one held. A report of a failure changes no state.
func (d *Detector) merge(r *record, m Member, now time.Time) {
	r.lastSeen = now
	if m.Leaving && !r.member.Leaving {
		r.member.Leaving = true
		r.hash = memberHash(r.member)
		d.recordChange(Change{Member: r.member, Before: r.member.State})
		d.enqueue(r.member)
	}
	newer := m.Revision > r.member.Revision
	if newer {
		r.member.Revision = m.Revision
	}
	if newer && m.CutOff != r.member.CutOff {
		r.member.CutOff = m.CutOff
		r.hash = memberHash(r.member)
		d.recordChange(Change{Member: r.member, Before: r.member.State})
		d.enqueue(r.member)
	}
	switch {
	case m.State == Alive && newer:
		d.setState(r, Alive, now)
		d.enqueue(r.member)
	case m.State == Alive && r.member.State == Failed:
		d.scheduleCheck(r.member.Instance.Peer)
	case m.State == Suspect && m.Revision == r.member.Revision && r.member.State == Alive:
		d.setState(r, Suspect, now)
		d.enqueue(r.member)
	}
}

// markAlive marks a member alive that acked a ping, directly or through a helper.
func (d *Detector) markAlive(r *record, now time.Time) {
	r.lastSeen = now
	r.suspectedByOwnPing = false
	d.setState(r, Alive, now)
}

// add adds a new incarnation. One that is reported failed starts as suspect, so that
// a live member can refute the report.
func (d *Detector) add(m Member, now time.Time) {
	if m.State == Failed {
		m.State = Suspect
	}
	address := m.Instance.Peer
	d.records[address] = &record{member: m, lastSeen: now, stateSince: now, hash: memberHash(m)}
	at, _ := slices.BinarySearchFunc(d.order, address, netip.AddrPort.Compare)
	d.order = slices.Insert(d.order, at, address)
	delete(d.candidates, address)
	d.recordChange(Change{Member: m, Before: m.State, New: true})
	d.enqueue(m)
}

// end removes an incarnation and records that it ended for good.
func (d *Detector) end(m Member, now time.Time) {
	if d.HasEnded(m.Instance.Peer, m.Incarnation) {
		return
	}
	d.ended[m.identity()] = now
	before := m.State
	if r := d.records[m.Instance.Peer]; r != nil && r.member.Incarnation == m.Incarnation {
		before = r.member.State
		d.remove(m.Instance.Peer)
	}
	m.State = Ended
	d.recordChange(Change{Member: m, Before: before})
	d.enqueue(m)
}

// remove drops the record of an address, which becomes a candidate again if the
// seeds or the list name it.
func (d *Detector) remove(address netip.AddrPort) {
	delete(d.records, address)
	if at, found := slices.BinarySearchFunc(d.order, address, netip.AddrPort.Compare); found {
		d.order = slices.Delete(d.order, at, at+1)
	}
	if d.isSeedOrListed(address) {
		d.candidates[address] = &candidate{}
	}
}

func (d *Detector) setState(r *record, s State, now time.Time) {
	before := r.member.State
	if before == s {
		return
	}
	r.member.State = s
	r.stateSince = now
	if s != Suspect {
		r.suspectedByOwnPing = false
	}
	d.recordChange(Change{Member: r.member, Before: before})
}

func (d *Detector) recordChange(c Change) {
	d.changes = append(d.changes, c)
	d.updateDigest()
}

// forget drops failed members and ended incarnations that are older than the
// option ForgetAfter.
func (d *Detector) forget(now time.Time) {
	if now.Sub(d.lastForget) < forgetInterval {
		return
	}
	d.lastForget = now
	for _, a := range slices.Clone(d.order) {
		if r := d.records[a]; r.member.State == Failed && now.Sub(r.stateSince) > d.options.ForgetAfter {
			d.remove(a)
		}
	}
	for i, t := range d.ended {
		if now.Sub(t) > d.options.ForgetAfter {
			delete(d.ended, i)
		}
	}
}

// HasEnded reports whether an incarnation is known to have ended for good.
func (d *Detector) HasEnded(peer netip.AddrPort, incarnation uint64) bool {
	_, ended := d.ended[identity{peer: peer, incarnation: incarnation}]
	return ended
}
