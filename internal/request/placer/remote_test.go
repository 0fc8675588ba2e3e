package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against probes to the targets of a remote zone while an instance there can be
// asked for targets with free slots: one search replaces all those probes.
func TestSearchesRemoteZoneThroughInstance(t *testing.T) {
	s := newFixture(t, 2, 6)
	s.CanSearch = func(zone string, _ time.Time) bool { return zone == "b" }
	s.submit(s.ticket())
	searches := 0
	for searches == 0 {
		s.report("a0", 0, 5)
		s.report("a1", 0, 5)
		a := s.advance(probeInterval).Step(s.now)
		searches += len(a.SearchZones)
		for _, p := range a.Probes {
			require.Equal(t, "a", p.Zone)
		}
	}
	s.report("a0", 0, 1.4)
	s.report("a1", 0, 5)
	require.Empty(t, s.Step(s.now).Grants, "the remote zone may offer a faster target")
	s.report("b4", 0, 1)
	s.SearchEnded("b")
	require.Equal(t, "b4", s.grantedTarget(s.Step(s.now)))
}

// Guards against a remote zone that gets no requests because no instance there can be
// asked: its targets are then probed directly.
func TestProbesRemoteTargetsWithoutInstance(t *testing.T) {
	s := newFixture(t, 0, 6)
	s.CanSearch = func(string, time.Time) bool { return false }
	a := s.submit(s.ticket())
	require.Empty(t, a.SearchZones)
	require.Len(t, a.Probes, remoteFanout)
}

// Guards against a request that waits for a search without a response longer than for
// a probe.
func TestSearchTimesOut(t *testing.T) {
	s := newFixture(t, 1, 3)
	s.CanSearch = func(string, time.Time) bool { return true }
	require.Equal(t, []string{"b"}, s.submit(s.ticket()).SearchZones)
	s.report("a0", 0, 1.4)
	require.Empty(t, s.Step(s.now).Grants)
	s.advance(probeTimeout).report("a0", 0, 1.4)
	require.Equal(t, "a0", s.grantedTarget(s.Step(s.now)))
}

// Guards against offering the same slot to two zones, and against offering slots while
// requests wait here.
func TestOffersEachSlotOnce(t *testing.T) {
	s := newFixture(t, 3, 3)
	require.Len(t, s.LocalProbes(s.now), 3)
	s.report("a0", 1, 1)
	s.report("a1", 2, 1)
	s.report("a2", 0, 5)
	require.Empty(t, s.OfferTargets(ImmediateSlowdown, s.now))
	first := s.OfferTargets(AnySlowdown, s.now)
	require.Len(t, first, 2)
	require.Equal(t, "a0", first[0].ID)
	require.Equal(t, "a2", first[1].ID)
	second := s.OfferTargets(AnySlowdown, s.now)
	require.Len(t, second, 1, "only a2 has a free slot left")
	require.Equal(t, "a2", second[0].ID)
	require.Empty(t, s.OfferTargets(AnySlowdown, s.now))

	s.advance(time.Second).report("a0", 0, 1)
	require.Len(t, s.OfferTargets(AnySlowdown, s.now), 1)
	waiting := s.ticket()
	waiting.Avoid = []string{"a0", "a1", "a2"}
	s.submit(waiting)
	s.report("a0", 0, 1)
	require.Empty(t, s.OfferTargets(AnySlowdown, s.now))
	require.Empty(t, s.LocalProbes(s.now))
}
