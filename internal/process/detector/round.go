package detector

import (
	"net/netip"
	"slices"
	"time"
)

// round goes over a changing set of members, each once before any again.
type round struct {
	order []netip.AddrPort
}

// take returns the next member of the round that is still wanted; a new round
// starts in a new random order.
func (d *Detector) take(r *round, want func(*record) bool) (netip.AddrPort, bool) {
	for range 2 {
		for len(r.order) > 0 {
			a := r.order[0]
			r.order = r.order[1:]
			if held := d.records[a]; held != nil && want(held) {
				return a, true
			}
		}
		r.order = d.pick(len(d.order), want)
	}
	return netip.AddrPort{}, false
}

// pick returns up to n random members that are wanted.
func (d *Detector) pick(n int, want func(*record) bool) []netip.AddrPort {
	var found []netip.AddrPort
	for _, a := range d.order {
		if want(d.records[a]) {
			found = append(found, a)
		}
	}
	for i := range min(n, len(found)) {
		j := i + int(d.options.Random()%uint64(len(found)-i))
		found[i], found[j] = found[j], found[i]
	}
	return found[:min(n, len(found))]
}

// period sends the pings of one period: one to a member of the round, a few to
// check claims and own suspicions, and now and then one to a failed member and
// to candidates.
func (d *Detector) period(now time.Time) []Outgoing {
	var targets []netip.AddrPort
	if a, found := d.takeRound(); found {
		targets = append(targets, a)
	}
	if d.periods%retryEvery == 0 {
		if a, found := d.take(&d.failed, func(r *record) bool { return r.member.State == Failed }); found {
			targets = append(targets, a)
		}
	}
	targets = append(targets, d.takeClaims()...)
	for _, a := range d.order {
		if r := d.records[a]; r.own && r.member.State == Suspect {
			targets = append(targets, a)
		}
	}
	targets = append(targets, d.takeCandidates(now)...)

	var actions []Outgoing
	for i, a := range targets {
		if !slices.Contains(targets[:i], a) {
			actions = append(actions, d.ping(a, now))
		}
	}
	return actions
}

// takeRound chooses the member to ping in this period: mostly one of the
// instance's own place, at a bounded rate one of the other places.
func (d *Detector) takeRound() (netip.AddrPort, bool) {
	near := func(r *record) bool {
		return r.member.State <= Suspect && r.member.Instance.Place == d.self.Instance.Place
	}
	far := func(r *record) bool {
		return r.member.State <= Suspect && r.member.Instance.Place != d.self.Instance.Place
	}
	if d.periods%d.options.RemotePingPeriods == 0 {
		if a, found := d.take(&d.remote, far); found {
			return a, true
		}
	}
	if a, found := d.take(&d.local, near); found {
		return a, true
	}
	return d.take(&d.remote, far)
}

// takeClaims returns a bounded number of the addresses to check.
func (d *Detector) takeClaims() []netip.AddrPort {
	n := min(extraPings, len(d.claims))
	taken := d.claims[:n]
	d.claims = slices.Clone(d.claims[n:])
	return taken
}
