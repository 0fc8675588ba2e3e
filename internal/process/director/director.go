package director

import (
	"net/netip"
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// CacheTime is how long clients may use a response. It answers the loss of many instances at
// once: a client leaves out the addresses that have failed it until its next response, which
// should name few of the lost ones again. It is twice the time in which the membership learns
// of nine in ten of them (ten pings, 2 s).
const CacheTime = 4 * time.Second

const (
	// maxAddresses is the maximum number of addresses in one response. It bounds the size
	// of the response.
	maxAddresses = 64
	// minLocal is the number of instances of the client's zone below which instances of
	// remote zones are listed too. Otherwise the last local instance would get all clients
	// of its zone.
	minLocal = 2
	// minAddresses is the number of addresses in one response below which no instance is
	// left out for its weight. If half of the instances are lost at once, one response in
	// 256 names only lost ones.
	minAddresses = 8
)

// Weights returns the weight of each member: how much work it should get, relative to the
// others. 0 is unknown, and counts as the median of the known ones. A nil slice means that
// all get the same. The slice has the length of the members.
type Weights func(members []detector.Member) []float64

// Choose returns the addresses of the instances for a client of a zone, in ascending
// order. If there are more than maxAddresses, it returns a random sample of them, which
// may lack the only local instance among many remote ones. Self is this instance, and
// ready says whether it accepts clients. Random returns a number in [0, n).
//
// Clients take one of the addresses at random. If the weights differ, the response leaves
// instances out, each as often as makes its share of the clients follow its weight, as far
// as minAddresses allows.
func Choose(zone string, self detector.Member, ready bool, members []detector.Member, weigh Weights, random func(n int) int) []netip.AddrPort {
	if ready {
		members = append(slices.Clone(members), self)
	}
	candidates := Candidates(zone, members)
	chosen := candidates
	if weights := uneven(weigh(candidates)); weights != nil {
		chosen = sample(candidates, weights, random)
	} else {
		shuffle(chosen, random)
	}
	var addresses []netip.AddrPort
	for _, m := range chosen {
		addresses = append(addresses, m.Instance.Address)
	}
	addresses = addresses[:min(maxAddresses, len(addresses))]
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// Serving returns the candidates for requests of a zone in random order: one of a greater
// weight is more often before one of a smaller weight. Random returns a number in [0, n).
func Serving(zone string, members []detector.Member, weigh Weights, random func(n int) int) []detector.Member {
	serving := Candidates(zone, members)
	if weights := uneven(weigh(serving)); weights != nil {
		shuffleByWeight(serving, weights, random)
	} else {
		shuffle(serving, random)
	}
	return serving
}

func shuffle(members []detector.Member, random func(n int) int) {
	for i := range members {
		j := i + random(len(members)-i)
		members[i], members[j] = members[j], members[i]
	}
}

// Candidates returns the members that serve requests of a zone: those of the zone, and of
// remote zones too if there are fewer than minLocal. If all members that accept clients are
// cut off from the targets, it returns these.
func Candidates(zone string, members []detector.Member) []detector.Member {
	if serving := inZone(zone, members, detector.Member.Serves); len(serving) > 0 {
		return serving
	}
	return inZone(zone, members, func(m detector.Member) bool { return m.State == detector.Alive && !m.Leaving })
}

// inZone returns the members for which a condition holds, only those of the zone if there
// are at least minLocal of them.
func inZone(zone string, members []detector.Member, holds func(m detector.Member) bool) []detector.Member {
	var local, remote []detector.Member
	for _, m := range members {
		switch {
		case !holds(m):
		case m.Instance.Zone == zone:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	if len(local) < minLocal {
		local = append(local, remote...)
	}
	return local
}
