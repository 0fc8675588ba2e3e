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

// Queries to a different instance of a zone each time would need many connections between
// zones. The same instance must be queried as long as it responds.
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

// Each query without a response delays the request that waits for it. An instance that
// did not respond, or is leaving, must not be queried again, and a zone with two
// consecutive queries without a response must not be queried for unresponsivePeriod.
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
	require.True(t, found, "the zone must be queried again after unresponsivePeriod")
	for i := range fleet {
		fleet[i].Leaving = fleet[i].Instance.Peer == third
	}
	fourth, _ := s.Peer("b", fleet, now.Add(unresponsivePeriod))
	require.NotEqual(t, third, fourth)
}
