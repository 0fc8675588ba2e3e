package relayer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// flood pushes a rumor from hop to hop until nobody is told anew. It returns the
// number of members that heard it and of messages that went to another place.
func flood(fleet []detector.Member, next func(from detector.Member, started bool) []netip.AddrPort) (heard, abroad int) {
	places := map[netip.AddrPort]detector.Member{}
	for _, m := range fleet {
		places[m.Instance.Peer] = m
	}
	seen := map[netip.AddrPort]bool{fleet[0].Instance.Peer: true}
	queue := []detector.Member{fleet[0]}
	for started := true; len(queue) > 0; started = false {
		from := queue[0]
		queue = queue[1:]
		for _, a := range next(from, started) {
			to := places[a]
			if to.Instance.Place != from.Instance.Place {
				abroad++
			}
			if !seen[a] {
				seen[a] = true
				queue = append(queue, to)
			}
		}
	}
	return len(seen), abroad
}

// A series of broken answers makes a rumor each. One of them crosses to another
// place four times, however large the fleet is, and is heard by nearly all at once;
// pings bring it to the rest.
func TestRumorsCrossToOtherPlacesOnce(t *testing.T) {
	for _, size := range []int{9, 99, 999} {
		var fleet []detector.Member
		for i := range size {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 3), byte(i / 250), byte(i % 250)}), 80)
			fleet = append(fleet, detector.Member{
				State:    detector.Alive,
				Instance: lister.Instance{Peer: a, Place: fmt.Sprint("place", i%3)},
			})
		}
		heard, abroad := flood(fleet, func(from detector.Member, started bool) []netip.AddrPort {
			return audience(fleet, from.Instance.Place, started)
		})
		require.LessOrEqual(t, abroad, 2*farFanout, "size %d", size)
		require.GreaterOrEqual(t, heard, size*9/10, "size %d", size)

		_, abroad = flood(fleet, func(detector.Member, bool) []netip.AddrPort { return sample(fleet, "", fanout) })
		require.Greater(t, abroad, 2*farFanout, "the check does not see a flood over all places")
	}
}
