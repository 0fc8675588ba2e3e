package detector

import (
	"net/netip"
	"slices"
	"time"
)

// rules are the decisions that keep a live incarnation from being ended.
type rules struct {
	// supersedes decides whether the answer to a ping sent at one time ends
	// another incarnation, of which the latest sign came at the other time.
	supersedes func(sent, heard time.Time) bool
	// conflict takes a statement about another incarnation than the one held.
	conflict func(d *Detector, r *record, m Member, now time.Time)
}

// answeredLater accepts an answer only to a ping sent after the latest sign: only
// one process listens at an address, so the one that answers ran later.
func answeredLater(sent, heard time.Time) bool { return sent.After(heard) }

// claimConflict leaves it to a ping to find out which incarnation runs.
func (d *Detector) claimConflict(r *record, _ Member, _ time.Time) {
	d.claim(r.member.Instance.Peer)
}

// answered takes the answer to a ping of this instance. It reports whether the
// member was out of reach until now.
func (d *Detector) answered(m Member, p *ping, now time.Time) bool {
	r := d.records[m.Instance.Peer]
	if r != nil && r.member.Incarnation != m.Incarnation {
		if d.HasEnded(m.Instance.Peer, m.Incarnation) {
			return false
		}
		if !d.rules.supersedes(p.sent, r.heard) {
			d.claim(m.Instance.Peer)
			return false
		}
		d.end(r.member, now)
	}
	if !d.meet(m, now) {
		return false
	}
	r = d.records[m.Instance.Peer]
	back := r.member.State == Failed
	d.revive(r, now)
	return back
}

// meet takes what a member says of itself. It reports whether the member is held.
func (d *Detector) meet(m Member, now time.Time) bool {
	if m.State == Ended {
		d.end(m, now)
		return false
	}
	m.State = Alive
	d.tell(m, now)
	r := d.records[m.Instance.Peer]
	if r == nil || r.member.Incarnation != m.Incarnation {
		return false
	}
	if r.member.State == Failed {
		d.claim(m.Instance.Peer)
	}
	return true
}

// learn takes what others say of members; ends go first, so that a successor
// told in the same packet is taken at once.
func (d *Detector) learn(members []Member, now time.Time) {
	for _, m := range members {
		if m.State == Ended {
			d.tell(m, now)
		}
	}
	for _, m := range members {
		if m.State != Ended {
			d.tell(m, now)
		}
	}
}

// tell takes one statement about a member.
func (d *Detector) tell(m Member, now time.Time) {
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
		d.rules.conflict(d, r, m, now)
		return
	}
	d.merge(r, m, now)
}

// refute answers a suspicion of the instance itself.
func (d *Detector) refute(m Member) {
	if m.Incarnation != d.self.Incarnation || m.State == Alive || m.Revision < d.self.Revision {
		return
	}
	d.self.Revision = m.Revision + 1
	d.enqueue(d.self)
}

// merge takes a statement about the incarnation that is held.
func (d *Detector) merge(r *record, m Member, now time.Time) {
	r.heard = now
	if m.Leaving && !r.member.Leaving {
		r.member.Leaving = true
		r.summary = summary(r.member)
		d.note(Change{Member: r.member, Before: r.member.State})
		d.enqueue(r.member)
	}
	newer := m.Revision > r.member.Revision
	if newer {
		r.member.Revision = m.Revision
	}
	switch {
	case m.State == Alive && newer:
		d.set(r, Alive, now)
		d.enqueue(r.member)
	case m.State == Alive && r.member.State == Failed:
		d.claim(r.member.Instance.Peer)
	case m.State == Suspect && m.Revision == r.member.Revision && r.member.State == Alive:
		d.set(r, Suspect, now)
		d.enqueue(r.member)
	}
}

// revive believes a member alive that gave a sign of life after it was asked.
func (d *Detector) revive(r *record, now time.Time) {
	r.heard = now
	r.own = false
	d.set(r, Alive, now)
}

// add holds a new incarnation.
func (d *Detector) add(m Member, now time.Time) {
	if m.State == Failed {
		m.State = Suspect
	}
	address := m.Instance.Peer
	d.records[address] = &record{member: m, heard: now, since: now, summary: summary(m)}
	at, _ := slices.BinarySearchFunc(d.order, address, netip.AddrPort.Compare)
	d.order = slices.Insert(d.order, at, address)
	delete(d.candidates, address)
	d.note(Change{Member: m, Before: m.State, New: true})
	d.enqueue(m)
}

// end drops an incarnation for good and remembers that it ended.
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
	d.note(Change{Member: m, Before: before})
	d.enqueue(m)
}

func (d *Detector) remove(address netip.AddrPort) {
	delete(d.records, address)
	if at, found := slices.BinarySearchFunc(d.order, address, netip.AddrPort.Compare); found {
		d.order = slices.Delete(d.order, at, at+1)
	}
	if d.seeded(address) {
		d.candidates[address] = &candidate{}
	}
}

// set changes the state of a member.
func (d *Detector) set(r *record, s State, now time.Time) {
	before := r.member.State
	if before == s {
		return
	}
	r.member.State = s
	r.since = now
	if s != Suspect {
		r.own = false
	}
	d.note(Change{Member: r.member, Before: before})
}

func (d *Detector) note(c Change) {
	d.changes = append(d.changes, c)
	d.summarize()
}

// forget drops failed members and ends that are too old to matter.
func (d *Detector) forget(now time.Time) {
	if now.Sub(d.forgotten) < forgetGap {
		return
	}
	d.forgotten = now
	for _, a := range slices.Clone(d.order) {
		if r := d.records[a]; r.member.State == Failed && now.Sub(r.since) > d.options.ForgetAfter {
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
