package relayer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

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

// Replays the replacement of a target that all instances notice at once. Guards against a
// rumor of each instance, each of which all others would pass on.
func TestDrainingIsPassedOnOnce(t *testing.T) {
	const size = 8
	nodes := startFleet(t, size, testPeriod)
	for _, n := range nodes {
		n.Spread(Rumor{Topic: Draining, Start: "i-1/1700000000000"}, time.Now())
		n.Spread(Rumor{Topic: Draining, Start: "i-2/1700000000000"}, time.Now())
	}
	time.Sleep(5 * gatherInterval)
	for _, n := range nodes {
		require.Empty(t, n.rumors(), "an instance must not be told what it has said")
	}
	nodes[0].Spread(Rumor{Topic: Draining, Start: "i-3/1700000000000"}, time.Now())
	for _, n := range nodes[1:] {
		eventually(t, "each instance to learn of the third run", func() bool { return len(n.rumors()) == 1 })
	}
}

// Replays an overload in which the targets reset hundreds of requests, each of which makes
// a rumor. Guards against a message for each rumor at each hop, which used up the
// processors of a fleet of 472 small instances: the number of messages must depend on the
// time that passes and not on the number of rumors, and each instance must learn of all.
func TestManyLossesCauseFewMessages(t *testing.T) {
	const size, losses = 12, 300
	nodes := startFleet(t, size, testPeriod)
	messages := func() (n uint64) {
		for _, node := range nodes {
			for _, t := range node.Traffic() {
				if t.Kind == kindNames[kindRumors] {
					n += t.MessagesSent
				}
			}
		}
		return n
	}
	began := time.Now()
	for i := range losses {
		nodes[i%size].Spread(Rumor{Topic: Loss, Service: "parts", Fingerprint: uint64(i)}, time.Now())
	}
	for i, n := range nodes {
		eventually(t, "each instance to learn of all losses", func() bool { return len(n.rumors()) == losses-losses/size })
		require.Len(t, n.rumors(), losses-losses/size, "instance %d", i)
	}
	// Each instance pushes its own rumors and those of others to fanout members each time.
	pushes := uint64(time.Since(began)/gatherInterval) + 2
	require.LessOrEqual(t, messages(), pushes*size*2*fanout)
	require.Less(t, messages(), uint64(losses*size))
}
