package steerer

import (
	"cmp"
	"net/netip"
	"slices"

	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// Service is what a plan has to know of one service.
type Service struct {
	Place, Name string
	// MinHomes is the least number of addresses in an answer.
	MinHomes int
	// ActiveHomes is the number of homes that take calls at the same time, at least 1.
	ActiveHomes int
}

// View is what an instance believes of the fleet.
type View struct {
	// Self is the instance's own member.
	Self detector.Member
	// Members holds the other members in any state.
	Members []detector.Member
	// Load is the load of an instance by its peer address, 1 when full; missing is 0.
	Load map[netip.AddrPort]float64
}

// Plan holds the homes of every service under one view. It is never modified.
type Plan struct {
	services map[key]*homes
	// resort is the instance itself, for a place without usable members; it is
	// nil while the instance is leaving.
	resort *home
}

type key struct{ place, service string }

// home is one member that may be named.
type home struct {
	member detector.Member
	hash   uint64
	weight int
}

// homes holds the members that may be named for one service, in order.
type homes struct {
	service Service
	ordered []home
}

// Build assigns the services to the members that may be named: those believed
// alive or suspect that are not leaving. Suspects keep their services until they
// are believed failed, but are named last.
func Build(v View, services []Service) *Plan {
	p := &Plan{services: make(map[key]*homes, len(services))}
	if v.Self.Usable() {
		self := newHome(v.Self, v.Load)
		p.resort = &self
	}
	usable := byPlace(v)
	for place, group := range grouped(services) {
		p.assignPlace(group, usable[place])
	}
	return p
}

func newHome(m detector.Member, load map[netip.AddrPort]float64) home {
	return home{member: m, hash: hashAddress(m.Instance.Peer), weight: weigh(load[m.Instance.Peer])}
}

// byPlace returns the members that may be named, by place, in the order of peers.
func byPlace(v View) map[string][]home {
	usable := map[string][]home{}
	for _, m := range append(slices.Clone(v.Members), v.Self) {
		if m.Usable() {
			usable[m.Instance.Place] = append(usable[m.Instance.Place], newHome(m, v.Load))
		}
	}
	for _, group := range usable {
		slices.SortFunc(group, func(a, b home) int {
			return a.member.Instance.Peer.Compare(b.member.Instance.Peer)
		})
	}
	return usable
}

func grouped(services []Service) map[string][]Service {
	groups := map[string][]Service{}
	for _, s := range services {
		groups[s.Place] = append(groups[s.Place], s)
	}
	return groups
}

// assignPlace gives each service of a place its first home, under a bound for
// each member, and the others in the order of their scores, zones in turn.
func (p *Plan) assignPlace(services []Service, members []home) {
	items := make([]uint64, len(services))
	for i, s := range services {
		items[i] = hashText(s.Place + "/" + s.Name)
	}
	bins := make([]bin, len(members))
	for i, h := range members {
		bins[i] = bin{hash: h.hash, weight: h.weight}
	}
	first := assign(items, bins, slack, spareRoom)
	for i, s := range services {
		h := &homes{service: s}
		if len(members) > 0 {
			h.ordered = order(items[i], members, first[i])
		}
		p.services[key{s.Place, s.Name}] = h
	}
}

// order puts the first home in front of the others by score. Each next one comes
// from the zone that was used least so far.
func order(item uint64, members []home, first int) []home {
	rest := slices.Delete(slices.Clone(members), first, first+1)
	slices.SortStableFunc(rest, func(a, b home) int {
		return compareScores(bin{b.hash, b.weight}, bin{a.hash, a.weight}, item)
	})
	ordered := append(make([]home, 0, len(members)), members[first])
	zones := byZone(rest)
	for _, z := range zones {
		if z.name == members[first].member.Instance.Zone {
			z.used++
		}
	}
	for len(ordered) < len(members) {
		z := slices.MinFunc(zones, compareTurns)
		ordered = append(ordered, rest[z.waiting[0]])
		z.waiting = z.waiting[1:]
		z.used++
	}
	return ordered
}

// turn is a zone whose members are put in order.
type turn struct {
	name string
	used int
	// waiting holds the positions of members not in order yet, the best first.
	waiting []int
}

// byZone returns the zones of the members.
func byZone(members []home) []*turn {
	var zones []*turn
	for i, m := range members {
		n := slices.IndexFunc(zones, func(z *turn) bool { return z.name == m.member.Instance.Zone })
		if n < 0 {
			n = len(zones)
			zones = append(zones, &turn{name: m.member.Instance.Zone})
		}
		zones[n].waiting = append(zones[n].waiting, i)
	}
	return zones
}

// compareTurns puts the zone first that was used least and has members left; of
// equal ones that of the best member.
func compareTurns(a, b *turn) int {
	switch {
	case len(a.waiting) == 0 || len(b.waiting) == 0:
		return cmp.Compare(len(b.waiting), len(a.waiting))
	case a.used != b.used:
		return cmp.Compare(a.used, b.used)
	}
	return cmp.Compare(a.waiting[0], b.waiting[0])
}

// Homes returns the peers of the active homes of a service, the first one first.
// It is empty for an unknown service.
func (p *Plan) Homes(place, service string) []netip.AddrPort {
	h := p.services[key{place, service}]
	if h == nil {
		return nil
	}
	var peers []netip.AddrPort
	for _, a := range h.active() {
		peers = append(peers, a.member.Instance.Peer)
	}
	return peers
}

// active returns the homes that take calls now; a suspect is among them only
// when all are suspect.
func (h *homes) active() []home {
	first := h.ordered[:min(max(h.service.ActiveHomes, 1), len(h.ordered))]
	if !slices.ContainsFunc(first, func(o home) bool { return o.member.State != detector.Alive }) {
		return slices.Clip(first)
	}
	sound := h.sound()
	alive := slices.IndexFunc(sound, func(o home) bool { return o.member.State != detector.Alive })
	if alive > 0 {
		sound = sound[:alive]
	}
	return sound[:min(max(h.service.ActiveHomes, 1), len(sound))]
}

// sound returns the homes with those that are suspect at the end.
func (h *homes) sound() []home {
	ordered := slices.Clone(h.ordered)
	slices.SortStableFunc(ordered, func(a, b home) int {
		return int(a.member.State) - int(b.member.State)
	})
	return ordered
}

// MembersFor returns the members that a caller should use, in order of preference:
// an active home, chosen by weight with the random number pick, the other active
// homes, then backups. It names at least Homes members and two zones if there
// are that many, else all there are. It is empty for an unknown service, and when
// only this instance is left and leaving.
func (p *Plan) MembersFor(place, service string, pick uint64) []detector.Member {
	h := p.services[key{place, service}]
	if h == nil {
		return nil
	}
	if len(h.ordered) == 0 {
		if p.resort == nil {
			return nil
		}
		return []detector.Member{p.resort.member}
	}
	active := h.active()
	chosen := choose(active, pick)
	named := append(slices.Clone(active[chosen:]), active[:chosen]...)
	named = append(named, h.sound()[len(active):]...)
	return members(cut(named, h.service.MinHomes))
}

// choose returns the index of an active home, by weight.
func choose(active []home, pick uint64) int {
	total := 0
	for _, a := range active {
		total += a.weight
	}
	left := int(pick % uint64(total))
	for i, a := range active {
		if left < a.weight {
			return i
		}
		left -= a.weight
	}
	return 0
}

// cut shortens an answer and keeps two zones in it.
func cut(named []home, least int) []home {
	zone := named[0].member.Instance.Zone
	other := slices.IndexFunc(named, func(h home) bool { return h.member.Instance.Zone != zone })
	n := max(least, 1)
	if other >= 0 {
		n = max(n, 2)
	}
	if n >= len(named) {
		return named
	}
	if other >= n {
		named[n-1] = named[other]
	}
	return named[:n]
}

func members(named []home) []detector.Member {
	all := make([]detector.Member, len(named))
	for i, h := range named {
		all[i] = h.member
	}
	return all
}
