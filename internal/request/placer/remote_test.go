package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against probes to the targets of a remote zone while an instance there can be
// asked for targets with free slots: one search replaces all those probes.
func TestSearchesRemoteZoneThroughInstance(t *testing.T) {
	f := newFixture(t, 2, 6)
	f.CanSearch = func(zone string, _ time.Time) bool { return zone == "b" }
	f.submit(f.ticket())
	searches := 0
	for searches == 0 {
		f.report("a0", 0, 5)
		f.report("a1", 0, 5)
		a := f.advance(probeInterval).Step(f.now)
		searches += len(a.SearchZones)
		for _, p := range a.Probes {
			require.Equal(t, "a", p.Zone)
		}
	}
	f.report("a0", 0, 1.4)
	f.report("a1", 0, 5)
	require.Empty(t, f.Step(f.now).Grants, "the remote zone may offer a faster target")
	f.report("b4", 0, 1)
	f.SearchEnded("b")
	require.Equal(t, "b4", f.grantedTarget(f.Step(f.now)))
}

// Guards against a remote zone that gets no requests because no instance there can be
// asked: its targets are then probed directly.
func TestProbesRemoteTargetsWithoutInstance(t *testing.T) {
	f := newFixture(t, 0, 6)
	f.CanSearch = func(string, time.Time) bool { return false }
	a := f.submit(f.ticket())
	require.Empty(t, a.SearchZones)
	require.Len(t, a.Probes, remoteFanout)
}

// Guards against a request that waits longer than probeTimeout for a search that gets
// no response.
func TestSearchTimesOut(t *testing.T) {
	f := newFixture(t, 1, 3)
	f.CanSearch = func(string, time.Time) bool { return true }
	require.Empty(t, f.submit(f.ticket()).SearchZones)
	f.report("a0", 2, 1)
	require.Equal(t, []string{"b"}, f.advance(localWait).Step(f.now).SearchZones)
	f.report("a0", 0, 1.4)
	require.Empty(t, f.Step(f.now).Grants)
	f.advance(probeTimeout).report("a0", 0, 1.4)
	require.Equal(t, "a0", f.grantedTarget(f.Step(f.now)))
}

// localWait is the time after which a request of the fixture that cannot start in its
// zone may go to a remote zone. It exceeds defaultLocalWait of the slack of its kind.
const localWait = 100 * time.Millisecond

// Guards against a request that goes to a remote zone at once because the two targets of
// its own zone are busy at the moment: the first slot that comes free there must get it.
func TestWaitsForABusyLocalTarget(t *testing.T) {
	f := newFixture(t, 2, 6)
	f.CanSearch = func(string, time.Time) bool { return true }
	f.report("a0", 2, 1)
	f.report("a1", 2, 1)
	require.Empty(t, f.submit(f.ticket()).SearchZones)
	f.advance(probeInterval)
	f.report("a0", 2, 1)
	f.report("a1", 2, 1)
	require.Empty(t, f.Step(f.now).SearchZones)
	f.advance(probeInterval).report("a1", 0, 1)
	a := f.Step(f.now)
	require.Equal(t, "a1", f.grantedTarget(a))
	require.False(t, a.Grants[0].Remote)
}

// Guards against a request that waits for its own zone although no target there is
// usable.
func TestCoversRemoteZonesAtOnceWithoutLocalTargets(t *testing.T) {
	f := newFixture(t, 1, 6)
	f.CanSearch = func(string, time.Time) bool { return true }
	retry := f.ticket()
	retry.Avoid = []string{"a0"}
	require.Equal(t, []string{"b"}, f.submit(retry).SearchZones)
}

// Guards against offering the same slot to two zones, and against offering slots while
// requests wait here.
func TestOffersEachSlotOnce(t *testing.T) {
	f := newFixture(t, 3, 3)
	require.Len(t, f.LocalProbes(f.now), 3)
	f.report("a0", 1, 1)
	f.report("a1", 2, 1)
	f.report("a2", 0, 5)
	require.Empty(t, f.OfferTargets(ImmediateSlowdown, f.now))
	first := f.OfferTargets(AnySlowdown, f.now)
	require.Len(t, first, 2)
	require.Equal(t, "a0", first[0].ID)
	require.Equal(t, "a2", first[1].ID)
	second := f.OfferTargets(AnySlowdown, f.now)
	require.Len(t, second, 1, "only a2 has a free slot left")
	require.Equal(t, "a2", second[0].ID)
	require.Empty(t, f.OfferTargets(AnySlowdown, f.now))

	f.advance(time.Second).report("a0", 0, 1)
	require.Len(t, f.OfferTargets(AnySlowdown, f.now), 1)
	waiting := f.ticket()
	waiting.Avoid = []string{"a0", "a1", "a2"}
	f.submit(waiting)
	f.report("a0", 0, 1)
	require.Empty(t, f.OfferTargets(AnySlowdown, f.now))
	require.Empty(t, f.LocalProbes(f.now))
}
