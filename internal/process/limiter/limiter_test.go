package limiter

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

var start = time.Unix(1000, 0)

// Guards against other instances that do not hear of a limit, of its change or of its
// end, and against a rumor for each response that repeats it.
func TestChangesOfALimitAreSpread(t *testing.T) {
	l := New()
	for _, c := range []struct {
		rate   float64
		spread bool
	}{{Unlimited, false}, {2, true}, {2, false}, {2.1, false}, {2.19, false}, {2.3, true}, {1, true}, {Unlimited, true}, {Unlimited, false}, {1, true}} {
		_, spread := l.Observe(run, c.rate, start)
		require.Equal(t, c.spread, spread, c.rate)
		require.Equal(t, c.rate, l.Rate(run))
	}
}

// Guards against an old rumor that reverts what a later response has said.
func TestLaterResponseIsBelieved(t *testing.T) {
	l := New()
	l.Observe(run, 2, start)
	require.False(t, l.Receive(run, Fact{Rate: Unlimited, Age: time.Second}, start.Add(900*time.Millisecond)))
	require.True(t, l.Receive(run, Fact{Rate: Unlimited, Age: time.Second}, start.Add(1100*time.Millisecond)))
	require.Equal(t, Unlimited, l.Rate(run))
}

// Guards against permits that are saved up while a target is not used, and against a
// lowered or lifted limit that does not take effect.
func TestPermitsFollowTheLimit(t *testing.T) {
	l, now := New(), start
	granted := func(d time.Duration) int {
		n := 0
		for end := now.Add(d); now.Before(end); now = now.Add(step) {
			if p, _ := l.Grant(run, Fact{Rate: Unlimited, Age: time.Hour}, 1, now); p.Wait == 0 {
				n++
			}
		}
		return n
	}
	l.Observe(run, 2, now)
	now = now.Add(time.Minute)
	require.LessOrEqual(t, granted(time.Second), 2)
	require.InDelta(t, 18, granted(10*time.Second), 2)
	l.Observe(run, 20, now)
	require.InDelta(t, 180, granted(10*time.Second), 20)
	l.Observe(run, 0.5, now)
	require.LessOrEqual(t, granted(10*time.Second), 6)
	l.Observe(run, 0, now)
	require.LessOrEqual(t, granted(10*time.Second), 2)
	l.Observe(run, Unlimited, now)
	require.Equal(t, 100, granted(time.Second))
}

// Guards against an owner that has not heard of the limit and grants without bound.
func TestOwnerLearnsTheLimitFromTheRequestForAPermit(t *testing.T) {
	l := New()
	p, changed := l.Grant(run, Fact{Rate: 1}, 1, start)
	require.True(t, changed)
	require.Positive(t, p.Wait, "the response that named the limit has just used it")
	p, changed = l.Grant(run, Fact{Rate: Unlimited, Age: time.Second}, 1, start.Add(500*time.Millisecond))
	require.False(t, changed)
	require.Equal(t, 1.0, p.Fact.Rate)
}

func TestLimitedRunIsRecheckedByItsOwner(t *testing.T) {
	l := New()
	require.False(t, l.NeedsRecheck(run, start))
	l.Observe(run, 1, start)
	require.False(t, l.NeedsRecheck(run, start.Add(recheckInterval)))
	require.True(t, l.NeedsRecheck(run, start.Add(recheckInterval+1)))
	l.Observe(run, Unlimited, start)
	require.False(t, l.NeedsRecheck(run, start.Add(time.Hour)))
}

func TestLimitsOfGoneRunsAreForgotten(t *testing.T) {
	l := New()
	l.Observe(run, 1, start)
	gone := func(string) bool { return false }
	l.Retain(gone, start.Add(retention))
	require.Equal(t, 1, l.Count())
	l.Retain(func(string) bool { return true }, start.Add(2*retention))
	require.Equal(t, 1, l.Count())
	l.Retain(gone, start.Add(2*retention))
	require.Zero(t, l.Count())
}

// Guards against owners in other zones, that leave or that have failed, and against the
// whole limit for an instance that sees only a part of the fleet.
func TestOwnerIsALiveInstanceOfTheZone(t *testing.T) {
	at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000) }
	member := func(n byte, zone string, s detector.State, leaving, cutOff bool) detector.Member {
		return detector.Member{Instance: lister.Instance{Peer: at(n), Zone: zone}, State: s, Leaving: leaving, CutOff: cutOff}
	}
	self, leaving := member(1, "a", detector.Alive, false, false), member(1, "a", detector.Alive, true, false)
	require.Equal(t, Owner{Peer: at(1), Share: 1}, ChooseOwner(run, "a", self, nil))
	require.Equal(t, Owner{Peer: at(1), Share: 1}, ChooseOwner(run, "b", leaving, nil))
	members := []detector.Member{
		member(2, "a", detector.Failed, false, false), member(3, "a", detector.Suspect, false, false),
		member(4, "a", detector.Alive, true, false), member(5, "b", detector.Alive, false, false),
		member(6, "b", detector.Alive, false, false), member(7, "a", detector.Alive, false, true),
		member(8, "a", detector.Alive, false, false),
	}
	const share = 6.0 / 8
	for k := range 50 {
		key := fmt.Sprint(k)
		local, remote := ChooseOwner(key, "a", self, members), ChooseOwner(key, "b", self, members)
		require.Contains(t, []Owner{{Peer: at(1), Share: share}, {Peer: at(8), Share: share}}, local)
		require.Contains(t, []Owner{{Peer: at(5), Share: share}, {Peer: at(6), Share: share}}, remote)
		require.NotEqual(t, at(1), ChooseOwner(key, "a", leaving, members).Peer)
	}
	// If all are cut off, one of them is the owner in the view of all.
	first, second := member(1, "a", detector.Alive, false, true), member(2, "a", detector.Alive, false, true)
	require.Equal(t, ChooseOwner(run, "a", first, []detector.Member{second}), ChooseOwner(run, "a", second, []detector.Member{first}))
}

// Guards against an owner of an earlier view.
func TestOwnersFollowTheView(t *testing.T) {
	at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000) }
	member := func(n byte) detector.Member {
		return detector.Member{Instance: lister.Instance{Peer: at(n), Zone: "a"}}
	}
	var owners Owners
	for _, members := range [][]detector.Member{nil, {member(2)}, {member(2), member(3)}, {member(3), member(4)}, nil} {
		for k := range 20 {
			key := fmt.Sprint(k % 10)
			require.Equal(t, ChooseOwner(key, "a", member(1), members), owners.Choose(key, "a", member(1), members))
		}
	}
	leaving := member(1)
	leaving.Leaving = true
	members := []detector.Member{member(2)}
	owners.Choose(run, "a", member(1), members)
	require.Equal(t, at(2), owners.Choose(run, "a", leaving, members).Peer)
}
