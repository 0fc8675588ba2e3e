package director

import (
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

func choose(zone string, ready bool, members ...detector.Member) []byte {
	var last []byte
	for _, a := range Choose(zone, member(1, "a", detector.Alive, false).Instance, ready, members, func(int) int { return 0 }) {
		last = append(last, a.Addr().As4()[3])
	}
	return last
}

func TestChoose(t *testing.T) {
	alive, failed := detector.Alive, detector.Failed
	require.Equal(t, []byte{1, 2}, choose("a", true, member(2, "a", alive, false), member(3, "b", alive, false)), "the zone's own")
	require.Equal(t, []byte{2, 4}, choose("a", false, member(2, "a", alive, false), member(4, "a", alive, false)), "an instance that is leaving does not name itself")
	require.Equal(t, []byte{1, 3}, choose("a", true, member(2, "a", failed, false), member(3, "b", alive, false)), "others when few of the zone are left")
	require.Equal(t, []byte{1, 3}, choose("a", true, member(2, "a", alive, true), member(3, "b", alive, false)), "no leaving member")
	require.Equal(t, []byte{1, 3}, choose("z", true, member(3, "b", alive, false)), "all for a zone without instances")
	require.Empty(t, choose("a", false))
	var many []detector.Member
	for n := range byte(100) {
		many = append(many, member(n+2, "a", alive, false))
	}
	require.Len(t, choose("a", true, many...), most)
}
