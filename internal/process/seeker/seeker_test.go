package seeker

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

func members(zone string, n int) []detector.Member {
	var all []detector.Member
	for i := range n {
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		all = append(all, detector.Member{State: detector.Alive, Instance: lister.Instance{Peer: peer, Zone: zone}})
	}
	return all
}

// Questions to ever-changing instances of a zone would need many connections between
// zones. The same instance must be asked as long as it responds.
func TestKeepsAskingTheSameInstance(t *testing.T) {
	now, count := time.Unix(1000, 0), 0
	s := &Seeker{Random: func(n int) int { count++; return count % n }}
	fleet := members("b", 5)
	first, found := s.Peer("b", fleet, now)
	require.True(t, found)
	for range 20 {
		s.RecordResult("b", true, now)
		again, _ := s.Peer("b", fleet, now)
		require.Equal(t, first, again)
	}
	_, found = s.Peer("c", fleet, now)
	require.False(t, found, "zone c has no known instance")
}

// Each question that gets no response costs a request time. An instance that did not
// respond, or is leaving, must not be asked again, and a zone with two consecutive
// questions without a response must not be asked for a while.
func TestUnresponsiveZoneIsNotAsked(t *testing.T) {
	now, count := time.Unix(1000, 0), 0
	s := &Seeker{Random: func(n int) int { count++; return count % n }}
	fleet := members("b", 3)
	first, _ := s.Peer("b", fleet, now)
	s.RecordResult("b", false, now)
	second, found := s.Peer("b", fleet, now)
	require.True(t, found)
	require.NotEqual(t, first, second)
	s.RecordResult("b", false, now)
	_, found = s.Peer("b", fleet, now.Add(unresponsivePeriod/2))
	require.False(t, found)
	third, found := s.Peer("b", fleet, now.Add(unresponsivePeriod))
	require.True(t, found, "the zone must be asked again after the period")
	for i := range fleet {
		fleet[i].Leaving = fleet[i].Instance.Peer == third
	}
	fourth, _ := s.Peer("b", fleet, now.Add(unresponsivePeriod))
	require.NotEqual(t, third, fourth)
}
