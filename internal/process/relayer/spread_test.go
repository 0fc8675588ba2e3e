package relayer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// floodRumor pushes a rumor from hop to hop until it reaches no new members. It returns
// the number of reached members and the number of messages sent to another place.
func floodRumor(fleet []detector.Member, next func(from detector.Member, origin bool) []netip.AddrPort) (reached, remote int) {
	membersByPeer := map[netip.AddrPort]detector.Member{}
	for _, m := range fleet {
		membersByPeer[m.Instance.Peer] = m
	}
	seen := map[netip.AddrPort]bool{fleet[0].Instance.Peer: true}
	queue := []detector.Member{fleet[0]}
	for origin := true; len(queue) > 0; origin = false {
		from := queue[0]
		queue = queue[1:]
		for _, a := range next(from, origin) {
			to := membersByPeer[a]
			if to.Instance.Place != from.Instance.Place {
				remote++
			}
			if !seen[a] {
				seen[a] = true
				queue = append(queue, to)
			}
		}
	}
	return len(seen), remote
}

// Each incomplete response causes a rumor, so a series of them would flood the slow
// links between places if every hop pushed rumors there. At most 2*remoteFanout
// messages must go to the two other places, whatever the size of the fleet. The pushes
// must still reach nearly all members. Pings carry the rumor to the rest.
func TestOnlyTheOriginPushesRumorsToOtherPlaces(t *testing.T) {
	for _, size := range []int{9, 99, 999} {
		var fleet []detector.Member
		for i := range size {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 3), byte(i / 250), byte(i % 250)}), 80)
			fleet = append(fleet, detector.Member{
				State:    detector.Alive,
				Instance: lister.Instance{Peer: a, Place: fmt.Sprint("place", i%3)},
			})
		}
		reached, remote := floodRumor(fleet, func(from detector.Member, origin bool) []netip.AddrPort {
			return rumorReceivers(fleet, from.Instance.Place, origin)
		})
		require.LessOrEqual(t, remote, 2*remoteFanout, "size %d", size)
		require.GreaterOrEqual(t, reached, size*9/10, "size %d", size)

		_, remote = floodRumor(fleet, func(detector.Member, bool) []netip.AddrPort { return sample(fleet, "", fanout) })
		require.Greater(t, remote, 2*remoteFanout, "pushes to all places stay within the bound, so this test detects no flood")
	}
}
