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

// Many questions cross zones on few connections.
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
	require.False(t, found, "no instance is known there")
}

// An instance that is gone, or leaves, is not asked again; a zone whose instances
// do not answer is silent for a while.
func TestSilentZonesAreLeftAlone(t *testing.T) {
	now, count := time.Unix(1000, 0), 0
	s := &Seeker{Random: func(n int) int { count++; return count % n }}
	fleet := members("b", 3)
	first, _ := s.Peer("b", fleet, now)
	s.RecordResult("b", false, now)
	second, found := s.Peer("b", fleet, now)
	require.True(t, found)
	require.NotEqual(t, first, second)
	s.RecordResult("b", false, now)
	_, found = s.Peer("b", fleet, now.Add(silence/2))
	require.False(t, found)
	third, found := s.Peer("b", fleet, now.Add(silence))
	require.True(t, found, "the zone may be back")
	for i := range fleet {
		fleet[i].Leaving = fleet[i].Instance.Peer == third
	}
	fourth, _ := s.Peer("b", fleet, now.Add(silence))
	require.NotEqual(t, third, fourth)
}
