package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A zone whose targets are all slow at the moment looks for room in another one:
// one question to an instance there in place of a probe to each of its targets.
func TestSeeksRoomThroughAnInstanceThere(t *testing.T) {
	s := newScene(t, 2, 6)
	s.CanSearch = func(zone string, _ time.Time) bool { return zone == "b" }
	s.submit(s.ticket())
	sought := 0
	for sought == 0 {
		s.tell("a0", 0, 5)
		s.tell("a1", 0, 5)
		a := s.after(poll).Step(s.now)
		sought += len(a.SearchZones)
		for _, p := range a.Probes {
			require.Equal(t, "a", p.Zone)
		}
	}
	s.tell("a0", 0, 1.4)
	s.tell("a1", 0, 5)
	require.Empty(t, s.Step(s.now).Grants, "the other zone may have a better one")
	s.tell("b4", 0, 1)
	s.SearchEnded("b")
	require.Equal(t, "b4", s.granted(s.Step(s.now)))
}

// While no instance of the other zone can be asked, its targets are.
func TestAsksTargetsOfSilentZones(t *testing.T) {
	s := newScene(t, 0, 6)
	s.CanSearch = func(string, time.Time) bool { return false }
	a := s.submit(s.ticket())
	require.Empty(t, a.SearchZones)
	require.Len(t, a.Probes, farFan)
}

// A search without an answer holds a request up for no longer than a probe does.
func TestSearchWithoutAnswerIsGivenUp(t *testing.T) {
	s := newScene(t, 1, 3)
	s.CanSearch = func(string, time.Time) bool { return true }
	require.Equal(t, []string{"b"}, s.submit(s.ticket()).SearchZones)
	s.tell("a0", 0, 1.4)
	require.Empty(t, s.Step(s.now).Grants)
	s.after(patience).tell("a0", 0, 1.4)
	require.Equal(t, "a0", s.granted(s.Step(s.now)))
}

// Two zones that look for room at once are not sent to the same slot, and what waits
// here goes first.
func TestLendsEachSlotOnce(t *testing.T) {
	s := newScene(t, 3, 3)
	require.Len(t, s.LocalProbes(s.now), 3)
	s.tell("a0", 1, 1)
	s.tell("a1", 2, 1)
	s.tell("a2", 0, 5)
	require.Empty(t, s.OfferTargets(ImmediateSlowdown, s.now))
	first := s.OfferTargets(AnySlowdown, s.now)
	require.Len(t, first, 2)
	require.Equal(t, "a0", first[0].ID)
	require.Equal(t, "a2", first[1].ID)
	second := s.OfferTargets(AnySlowdown, s.now)
	require.Len(t, second, 1, "a2 has two slots, the others are taken")
	require.Equal(t, "a2", second[0].ID)
	require.Empty(t, s.OfferTargets(AnySlowdown, s.now))

	s.after(time.Second).tell("a0", 0, 1)
	require.Len(t, s.OfferTargets(AnySlowdown, s.now), 1)
	late := s.ticket()
	late.Avoid = []string{"a0", "a1", "a2"}
	s.submit(late)
	s.tell("a0", 0, 1)
	require.Empty(t, s.OfferTargets(AnySlowdown, s.now))
	require.Empty(t, s.LocalProbes(s.now))
}
