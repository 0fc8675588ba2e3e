package director

import (
	"math/rand"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

func member(n byte, zone string, state detector.State, leaving bool) detector.Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
	return detector.Member{Instance: lister.Instance{Address: a, Zone: zone}, State: state, Leaving: leaving}
}

// same is the weights of instances that are all alike.
func same(members []detector.Member) []float64 { return make([]float64, len(members)) }

// choose returns the last byte of each chosen address.
func choose(zone string, ready bool, members ...detector.Member) []byte {
	var lastBytes []byte
	for _, a := range Choose(zone, member(1, "a", detector.Alive, false), ready, members, same, func(int) int { return 0 }) {
		lastBytes = append(lastBytes, a.Addr().As4()[3])
	}
	return lastBytes
}

// A client that connects to an instance that has failed, is leaving or is not ready
// would lose its connection. A client that gets remote instances without need would send
// its requests across zones.
func TestChoose(t *testing.T) {
	alive, failed := detector.Alive, detector.Failed
	require.Equal(t, []byte{1, 2}, choose("a", true, member(2, "a", alive, false), member(3, "b", alive, false)), "only instances of the client's zone")
	require.Equal(t, []byte{2, 4}, choose("a", false, member(2, "a", alive, false), member(4, "a", alive, false)), "an instance that is not ready, for example because it is leaving, must not list itself")
	require.Equal(t, []byte{1, 3}, choose("a", true, member(2, "a", failed, false), member(3, "b", alive, false)), "remote instances when few local ones are left")
	require.Equal(t, []byte{1, 3}, choose("a", true, member(2, "a", alive, true), member(3, "b", alive, false)), "a leaving member must not be listed")
	require.Equal(t, []byte{1, 3}, choose("z", true, member(3, "b", alive, false)), "all instances for a zone without instances")
	require.Empty(t, choose("a", false))
	cut := func(m detector.Member) detector.Member { m.CutOff = true; return m }
	require.Equal(t, []byte{1, 2}, choose("a", true, member(2, "a", alive, false), cut(member(4, "a", alive, false))), "an instance that reaches no target must not be listed")
	require.Equal(t, []byte{2, 4}, choose("a", false, cut(member(2, "a", alive, false)), cut(member(4, "a", alive, false))), "unless there is no other")
	var many []detector.Member
	for n := range byte(100) {
		many = append(many, member(n+2, "a", alive, false))
	}
	require.Len(t, choose("a", true, many...), maxAddresses)
}

// Guards against serving instances that are overrun by the requests of those that are cut
// off from the targets: half of a zone, or all of it.
func TestServingInstancesShareTheRequestsOfCutOnes(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	for _, n := range []int{16, 98, 472} {
		for _, all := range []bool{false, true} {
			var members []detector.Member
			cut, serving := 0, 0
			for k := range n {
				m := member(0, []string{"a", "b", "c"}[k%3], detector.Alive, false)
				m.Instance.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(k >> 8), byte(k)}), 80)
				if m.CutOff = k%3 == 0 && (all || k%2 == 0); m.CutOff {
					cut++
				} else if all || k%3 == 0 {
					serving++
				}
				members = append(members, m)
			}
			const requests = 50
			load := map[netip.AddrPort]int{}
			for range cut * requests {
				m := Serving("a", members, same, random.Intn)[0]
				require.False(t, m.CutOff)
				require.True(t, all || m.Instance.Zone == "a", "the own zone serves while it can")
				load[m.Instance.Address]++
			}
			require.Len(t, load, serving)
			for _, taken := range load {
				require.Less(t, taken, 2*cut*requests/serving)
			}
		}
	}
}
