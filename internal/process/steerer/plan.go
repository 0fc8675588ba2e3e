package steerer

import (
	"cmp"
	"net/netip"
	"slices"

	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// Service holds the properties of a service that a plan depends on.
type Service struct {
	Place, Name string
	// MemberCount is the number of members that a caller is told, active homes and
	// backups together. It is raised to 2 when the members are in several availability
	// zones.
	MemberCount int
	// ActiveHomes is the number of homes that take calls at the same time, at least 1.
	ActiveHomes int
}

// View is one instance's view of the fleet.
type View struct {
	// Self is the instance's own member.
	Self detector.Member
	// Members holds the other members in any state.
	Members []detector.Member
	// Load holds the load of instances by their peer address, 1 when full; an instance
	// that is missing has load 0.
	Load map[netip.AddrPort]float64
}

// Plan holds the homes of every service under one view. It is immutable.
type Plan struct {
	services map[key]*ranking
	// fallback is the instance itself, named for a place without usable members; it
	// is nil while the instance is leaving.
	fallback *candidate
}

type key struct{ place, service string }

// candidate is a usable member that callers may be told to use.
type candidate struct {
	member detector.Member
	hash   uint64
	weight int
}

// ranking holds the candidates for one service, the most preferred first.
type ranking struct {
	service Service
	ranked  []candidate
}

// Build assigns the services to the usable members: members that are alive or
// suspect and not leaving. A suspect keeps its services until it fails, but comes
// last in the order for callers.
func Build(v View, services []Service) *Plan {
	p := &Plan{services: make(map[key]*ranking, len(services))}
	if v.Self.Usable() {
		self := newCandidate(v.Self, v.Load)
		p.fallback = &self
	}
	usable := usableByPlace(v)
	for place, group := range groupByPlace(services) {
		p.assignPlace(group, usable[place])
	}
	return p
}

func newCandidate(m detector.Member, load map[netip.AddrPort]float64) candidate {
	return candidate{member: m, hash: hashAddress(m.Instance.Peer), weight: weightOf(load[m.Instance.Peer])}
}

// usableByPlace returns the usable members by place, in the order of their peer
// addresses.
func usableByPlace(v View) map[string][]candidate {
	usable := map[string][]candidate{}
	for _, m := range append(slices.Clone(v.Members), v.Self) {
		if m.Usable() {
			usable[m.Instance.Place] = append(usable[m.Instance.Place], newCandidate(m, v.Load))
		}
	}
	for _, group := range usable {
		slices.SortFunc(group, func(a, b candidate) int {
			return a.member.Instance.Peer.Compare(b.member.Instance.Peer)
		})
	}
	return usable
}

func groupByPlace(services []Service) map[string][]Service {
	groups := map[string][]Service{}
	for _, s := range services {
		groups[s.Place] = append(groups[s.Place], s)
	}
	return groups
}

// assignPlace ranks the members for each service of a place. The first home comes
// from the assignment with a bounded number of services per member.
func (p *Plan) assignPlace(services []Service, members []candidate) {
	items := make([]uint64, len(services))
	for i, s := range services {
		items[i] = hashText(s.Place + "/" + s.Name)
	}
	bins := make([]bin, len(members))
	for i, c := range members {
		bins[i] = bin{hash: c.hash, weight: c.weight}
	}
	first := assign(items, bins, maxLoadRatio, extraItems)
	for i, s := range services {
		r := &ranking{service: s}
		if len(members) > 0 {
			r.ranked = rank(items[i], members, first[i])
		}
		p.services[key{s.Place, s.Name}] = r
	}
}

// rank returns the members in order of preference: the first home, then repeatedly
// the member with the highest score in the availability zone with the fewest ranked
// members.
func rank(item uint64, members []candidate, first int) []candidate {
	rest := slices.Delete(slices.Clone(members), first, first+1)
	slices.SortStableFunc(rest, func(a, b candidate) int {
		return compareScores(bin{b.hash, b.weight}, bin{a.hash, a.weight}, item)
	})
	ranked := append(make([]candidate, 0, len(members)), members[first])
	zones := queueByZone(rest)
	for _, z := range zones {
		if z.name == members[first].member.Instance.Zone {
			z.rankedCount++
		}
	}
	for len(ranked) < len(members) {
		z := slices.MinFunc(zones, compareZones)
		ranked = append(ranked, rest[z.waiting[0]])
		z.waiting = z.waiting[1:]
		z.rankedCount++
	}
	return ranked
}

// zoneQueue holds the members of a zone that rank has not ranked yet.
type zoneQueue struct {
	name string
	// rankedCount counts the members of the zone that are ranked.
	rankedCount int
	// waiting holds the indexes of the other members, the highest score first.
	waiting []int
}

// queueByZone splits members into a queue for each zone and keeps their order.
func queueByZone(members []candidate) []*zoneQueue {
	var zones []*zoneQueue
	for i, m := range members {
		n := slices.IndexFunc(zones, func(z *zoneQueue) bool { return z.name == m.member.Instance.Zone })
		if n < 0 {
			n = len(zones)
			zones = append(zones, &zoneQueue{name: m.member.Instance.Zone})
		}
		zones[n].waiting = append(zones[n].waiting, i)
	}
	return zones
}

// compareZones orders zones for rank: zones with waiting members first, then the zone
// with the fewest ranked members, then the zone whose next member has the highest
// score.
func compareZones(a, b *zoneQueue) int {
	switch {
	case len(a.waiting) == 0 || len(b.waiting) == 0:
		return cmp.Compare(len(b.waiting), len(a.waiting))
	case a.rankedCount != b.rankedCount:
		return cmp.Compare(a.rankedCount, b.rankedCount)
	}
	return cmp.Compare(a.waiting[0], b.waiting[0])
}

// Homes returns the peer addresses of the active homes of a service, the most
// preferred first. It returns nil for an unknown service.
func (p *Plan) Homes(place, service string) []netip.AddrPort {
	r := p.services[key{place, service}]
	if r == nil {
		return nil
	}
	var peers []netip.AddrPort
	for _, a := range r.active() {
		peers = append(peers, a.member.Instance.Peer)
	}
	return peers
}

// active returns the active homes. It includes suspects only when every candidate is
// suspect.
func (r *ranking) active() []candidate {
	first := r.ranked[:min(max(r.service.ActiveHomes, 1), len(r.ranked))]
	if !slices.ContainsFunc(first, func(c candidate) bool { return c.member.State != detector.Alive }) {
		return slices.Clip(first)
	}
	ordered := r.aliveFirst()
	aliveCount := slices.IndexFunc(ordered, func(c candidate) bool { return c.member.State != detector.Alive })
	if aliveCount > 0 {
		ordered = ordered[:aliveCount]
	}
	return ordered[:min(max(r.service.ActiveHomes, 1), len(ordered))]
}

// aliveFirst returns the candidates in order of preference, all suspects at the end.
func (r *ranking) aliveFirst() []candidate {
	ordered := slices.Clone(r.ranked)
	slices.SortStableFunc(ordered, func(a, b candidate) int {
		return int(a.member.State) - int(b.member.State)
	})
	return ordered
}

// MembersFor returns the members that a caller should use, in order of preference:
// an active home chosen by weight, the other active homes, then backups. The choice
// depends on the random number random. The result has the service's MemberCount, or
// all usable members if there are fewer; active homes beyond that count are left out.
// It has at least two members, from at least two availability zones, if the usable
// members are in several zones. A place without usable members gets this instance. The
// result is nil for an unknown service, and for a place without usable members while
// this instance is leaving.
func (p *Plan) MembersFor(place, service string, random uint64) []detector.Member {
	r := p.services[key{place, service}]
	if r == nil {
		return nil
	}
	if len(r.ranked) == 0 {
		if p.fallback == nil {
			return nil
		}
		return []detector.Member{p.fallback.member}
	}
	active := r.active()
	chosen := chooseByWeight(active, random)
	ordered := append(slices.Clone(active[chosen:]), active[:chosen]...)
	ordered = append(ordered, r.aliveFirst()[len(active):]...)
	return membersOf(truncate(ordered, r.service.MemberCount))
}

// chooseByWeight returns the index of an active home, chosen by a random number with
// a probability proportional to its weight.
func chooseByWeight(active []candidate, random uint64) int {
	total := 0
	for _, a := range active {
		total += a.weight
	}
	remaining := int(random % uint64(total))
	for i, a := range active {
		if remaining < a.weight {
			return i
		}
		remaining -= a.weight
	}
	return 0
}

// truncate returns the first count candidates, at least one, and at least two if the
// candidates are in several zones. If all of these would be in one zone, the first
// candidate of another zone replaces the last of them. It modifies ordered.
func truncate(ordered []candidate, count int) []candidate {
	zone := ordered[0].member.Instance.Zone
	secondZone := slices.IndexFunc(ordered, func(c candidate) bool { return c.member.Instance.Zone != zone })
	n := max(count, 1)
	if secondZone >= 0 {
		n = max(n, 2)
	}
	if n >= len(ordered) {
		return ordered
	}
	if secondZone >= n {
		ordered[n-1] = ordered[secondZone]
	}
	return ordered[:n]
}

func membersOf(candidates []candidate) []detector.Member {
	all := make([]detector.Member, len(candidates))
	for i, c := range candidates {
		all[i] = c.member
	}
	return all
}
