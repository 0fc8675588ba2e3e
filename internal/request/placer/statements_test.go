package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/request/admitter"
)

// Guards against messages of any kind to a target that has asked for a pause: also when it is
// the only one with room, when other targets are avoided, and when a remote zone asks.
func TestPausedTargetIsLeftOut(t *testing.T) {
	f := newFixture(t, 2, 0)
	ends := f.now.Add(2 * time.Second)
	f.Admitter.Run("a0").Pause(ends, f.now)
	f.report("a0", 0, 1)
	a := f.submit(f.ticket())
	require.Empty(t, a.Grants)
	require.Len(t, a.Probes, 1)
	require.Equal(t, "a1", a.Probes[0].ID)
	f.report("a1", 2, 1)
	require.Empty(t, f.Step(f.now).Grants, "the request waits for the target that is left")
	require.Empty(t, f.OfferTargets(AnySlowdown, f.now))
	for range 3 {
		f.ProbeFailed("a1", f.now)
	}
	require.Empty(t, f.advance(100*time.Millisecond).Step(f.now).Grants, "an avoided target is no reason")

	f.advance(ends.Sub(f.now))
	f.submit(f.ticket())
	f.report("a0", 0, 1)
	require.Equal(t, "a0", f.grantedTarget(f.Step(f.now)))
}

// Guards against a caller that is told to return before a target takes requests again, or
// that waits in vain.
func TestCallerIsToldWhenAPauseEnds(t *testing.T) {
	f := newFixture(t, 2, 0)
	f.Admitter.Run("a0").Pause(f.now.Add(8*time.Second), f.now)
	f.Admitter.Run("a1").Pause(f.now.Add(6*time.Second), f.now)
	for range 20 {
		a := f.submit(f.ticket())
		require.Empty(t, a.Probes)
		require.Len(t, a.Rejections, 1)
		require.Equal(t, Limited, a.Rejections[0].Reason)
		require.GreaterOrEqual(t, a.Rejections[0].RetryAfter, 6*time.Second)
		require.Less(t, a.Rejections[0].RetryAfter, 8*time.Second)
	}
}

// Guards against a flood at the few targets that are left when many pause at once: they get
// no more requests than they have slots.
func TestTargetsThatAreLeftAreNotFlooded(t *testing.T) {
	f := newFixture(t, 10, 0)
	for _, s := range f.states[1:] {
		f.Admitter.Run(s.ID).Pause(f.now.Add(5*time.Second), f.now)
	}
	granted := 0
	for range 40 {
		granted += len(f.submit(f.ticket()).Grants)
		f.report("a0", min(granted, 2), 1)
		granted += len(f.Step(f.now).Grants)
	}
	require.Positive(t, granted)
	require.LessOrEqual(t, granted, 2)
	require.Len(t, f.targets["a0"].running, granted)
}

// Guards against a non-idempotent request at a cold target while a warm one has room, and
// against a cold target that no request reaches.
func TestColdTargetIsTheLastChoiceOfNonIdempotentRequests(t *testing.T) {
	f := newFixture(t, 2, 0)
	f.Admitter.Run("a0").SetCold(f.now.Add(3 * time.Second))
	once := f.ticket()
	once.NonIdempotent = true
	a := f.submit(once)
	require.Len(t, a.Probes, 2, "a cold target is probed")
	f.report("a0", 0, 1)
	require.Empty(t, f.Step(f.now).Grants, "the other target may have room")
	f.report("a1", 0, 1)
	require.Equal(t, "a1", f.grantedTarget(f.Step(f.now)))

	// The warm target is full, and no probe is outstanding.
	f.advance(time.Millisecond)
	f.report("a0", 0, 1)
	f.report("a1", 2, 1)
	once = f.ticket()
	once.NonIdempotent = true
	f.Submit(once)
	once.rounds = 1
	require.Equal(t, "a0", f.grantedTarget(f.Step(f.now)))
}

// Guards against a request that waits for the next permit of a cold target while a warm one
// has room, and against a cold target that gets nothing while warm ones have room.
func TestRequestLeavesAColdTargetWithoutPermit(t *testing.T) {
	f := newFixture(t, 2, 0)
	f.Admitter.Run("a0").SetCold(f.now.Add(3 * time.Second))
	f.NeedsRecheck = func(target Target, _ time.Time) bool { return target.ID == "a0" }
	first := f.ticket()
	f.submit(first)
	f.report("a0", 0, 1)
	f.report("a1", 0, 1)
	require.Equal(t, "a0", f.grantedTarget(f.Step(f.now)), "an unused cold target gets a request")
	f.Withhold("a0", first, f.now.Add(200*time.Millisecond), f.now)
	f.Submit(first)
	require.Equal(t, "a1", f.grantedTarget(f.Step(f.now)))
	require.Empty(t, f.targets["a0"].running)
	require.False(t, f.Admitter.Run("a0").Admit(admitter.Request, f.now).Admitted)
	require.True(t, f.Admitter.Run("a0").Admit(admitter.Request, f.now.Add(200*time.Millisecond)).Admitted)
}
