package director

import (
	"net/netip"
	"slices"

	"oriolecourse.example/oriolecourse/internal/process/detector"
)

const (
	// maxAddresses is the maximum number of addresses in one response. It bounds the size
	// of the response.
	maxAddresses = 64
	// minLocal is the number of instances of the client's zone below which instances of
	// remote zones are listed too. Otherwise the last local instance would get all clients
	// of its zone.
	minLocal = 2
)

// Choose returns the addresses of the instances for a client of a zone, in ascending
// order. If there are more than maxAddresses, it returns a random sample of them, which
// may lack the only local instance among many remote ones. Self is this instance, and
// ready says whether it accepts clients. Random returns a number in [0, n).
func Choose(zone string, self detector.Member, ready bool, members []detector.Member, random func(n int) int) []netip.AddrPort {
	if ready {
		members = append(slices.Clone(members), self)
	}
	var addresses []netip.AddrPort
	for _, m := range Serving(zone, members, random) {
		addresses = append(addresses, m.Instance.Address)
	}
	addresses = addresses[:min(maxAddresses, len(addresses))]
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// Serving returns the candidates for requests of a zone in random order. Random returns a
// number in [0, n).
func Serving(zone string, members []detector.Member, random func(n int) int) []detector.Member {
	serving := Candidates(zone, members)
	for i := range serving {
		j := i + random(len(serving)-i)
		serving[i], serving[j] = serving[j], serving[i]
	}
	return serving
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
