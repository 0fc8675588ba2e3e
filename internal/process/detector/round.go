package detector

import (
	"net/netip"
	"slices"
	"time"
)

// round visits a changing set of members in random order, each once before any
// member comes again.
type round struct {
	// remaining holds the members that are still to be visited.
	remaining []netip.AddrPort
}

// nextInRound returns the next member of the round that matches now. At the end of
// the round it starts a new one in a new random order.
func (d *Detector) nextInRound(r *round, matches func(*record) bool) (netip.AddrPort, bool) {
	for range 2 {
		for len(r.remaining) > 0 {
			a := r.remaining[0]
			r.remaining = r.remaining[1:]
			if held := d.records[a]; held != nil && matches(held) {
				return a, true
			}
		}
		r.remaining = d.pick(len(d.order), matches)
	}
	return netip.AddrPort{}, false
}

// pick returns up to n random members that match.
func (d *Detector) pick(n int, matches func(*record) bool) []netip.AddrPort {
	var found []netip.AddrPort
	for _, a := range d.order {
		if matches(d.records[a]) {
			found = append(found, a)
		}
	}
	for i := range min(n, len(found)) {
		j := i + int(d.options.Random()%uint64(len(found)-i))
		found[i], found[j] = found[j], found[i]
	}
	return found[:min(n, len(found))]
}

// pingPeriod returns the pings of one period: one to the next member of a round, a
// few to check which incarnation runs at an address, one to each member that this
// instance's own ping made suspect, and some to candidates that are due. Every
// failedPingPeriods periods one goes to a failed member.
func (d *Detector) pingPeriod(now time.Time) []Outgoing {
	var addresses []netip.AddrPort
	if a, found := d.nextRoundMember(); found {
		addresses = append(addresses, a)
	}
	if d.periods%failedPingPeriods == 0 {
		if a, found := d.nextInRound(&d.failedRound, func(r *record) bool { return r.member.State == Failed }); found {
			addresses = append(addresses, a)
		}
	}
	addresses = append(addresses, d.takeChecks()...)
	for _, a := range d.order {
		if r := d.records[a]; r.suspectedByOwnPing && r.member.State == Suspect {
			addresses = append(addresses, a)
		}
	}
	addresses = append(addresses, d.takeCandidates(now)...)

	var packets []Outgoing
	for i, a := range addresses {
		if !slices.Contains(addresses[:i], a) {
			packets = append(packets, d.newPing(a, now))
		}
	}
	return packets
}

// nextRoundMember returns the member to ping in this period: one of the instance's own
// place, or every RemotePingPeriods periods one of another place, more rarely in a large
// place. When the own place has no other member, it is always one of another place.
func (d *Detector) nextRoundMember() (netip.AddrPort, bool) {
	local := func(r *record) bool {
		return r.member.State <= Suspect && r.member.Instance.Place == d.self.Instance.Place
	}
	remote := func(r *record) bool {
		return r.member.State <= Suspect && r.member.Instance.Place != d.self.Instance.Place
	}
	if d.periods >= d.nextRemotePing {
		interval := float64(d.options.RemotePingPeriods) * max(1, float64(d.localMembers())/smallPlaceSize)
		d.nextRemotePing = d.periods + uint64(interval)
		if a, found := d.nextInRound(&d.remoteRound, remote); found {
			return a, true
		}
	}
	if a, found := d.nextInRound(&d.localRound, local); found {
		return a, true
	}
	return d.nextInRound(&d.remoteRound, remote)
}

// takeChecks removes and returns the addresses to check in this period: up to
// maxCheckPings of this place, and at times one of another place. It drops the questions
// that another member has answered.
func (d *Detector) takeChecks() []netip.AddrPort {
	d.checks = slices.DeleteFunc(d.checks, func(c check) bool { return !d.isOpen(c) })
	var taken []netip.AddrPort
	var remote []int
	kept := d.checks[:0]
	for _, c := range d.checks {
		if !c.remote && len(taken) < maxCheckPings {
			taken = append(taken, c.member.peer)
			continue
		}
		if c.remote {
			remote = append(remote, len(kept))
		}
		kept = append(kept, c)
	}
	d.checks = kept
	interval := uint64(remoteCheckPeriods * d.localMembers())
	if len(remote) > 0 && d.periods-d.lastRemoteCheck > interval {
		// A random one, so that the members of this place ask different questions.
		at := remote[d.options.Random()%uint64(len(remote))]
		taken = append(taken, d.checks[at].member.peer)
		d.checks = slices.Delete(d.checks, at, at+1)
		d.lastRemoteCheck = d.periods
	}
	return taken
}

// localMembers returns the number of alive and suspect members of this place.
func (d *Detector) localMembers() int {
	n := 0
	for _, r := range d.records {
		if r.member.State <= Suspect && r.member.Instance.Place == d.self.Instance.Place {
			n++
		}
	}
	return n
}
