package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against probes and requests to a limited target while other targets have room.
func TestLimitedTargetIsTheLastChoice(t *testing.T) {
	f := newFixture(t, 2, 0)
	f.SetLimited("a0", true)
	a := f.submit(f.ticket())
	require.Empty(t, a.Grants)
	require.Len(t, a.Probes, 1)
	require.Equal(t, "a1", a.Probes[0].ID)
	f.report("a1", 0, 1)
	require.Equal(t, "a1", f.grantedTarget(f.Step(f.now)))
	require.Empty(t, f.OfferTargets(AnySlowdown, f.now.Add(time.Second)), "no limited target is offered to a remote zone")

	// The other target is full.
	f.advance(time.Second).submit(f.ticket())
	f.report("a1", 2, 1)
	require.Equal(t, "a0", f.grantedTarget(f.Step(f.now)))
}

// Guards against a request that waits out its deadline for targets whose limits allow no
// request in time, and against one that is rejected although it can be served.
func TestRequestIsRejectedAtOnceIfLimitsAllowNoneInTime(t *testing.T) {
	f := newFixture(t, 2, 0)
	f.SetLimited("a0", true)
	f.SetLimited("a1", true)
	first := f.ticket()
	a := f.submit(first)
	id := f.grantedTarget(a)
	f.Withhold(id, first, f.now.Add(5*time.Second), f.now)
	second := f.ticket()
	a = f.submit(second)
	other := f.grantedTarget(a)
	require.NotEqual(t, id, other)
	f.Withhold(other, second, f.now.Add(3*time.Second), f.now)

	a = f.submit(f.ticket())
	require.Len(t, a.Rejections, 1)
	require.Equal(t, Limited, a.Rejections[0].Reason)
	require.InDelta(t, 3*time.Second, a.Rejections[0].RetryAfter, float64(time.Second), "the time at which a limit allows a request")

	// It waits if the limit allows a request before its deadline.
	f.advance(2800 * time.Millisecond)
	late := f.ticket()
	late.Deadline = f.now.Add(2 * time.Second)
	a = f.submit(late)
	require.Empty(t, a.Rejections)
	require.False(t, a.NextStep.IsZero())
	f.advance(200 * time.Millisecond)
	require.Equal(t, other, f.grantedTarget(f.Step(f.now)))
}

// Guards against a limit whose end nobody notices because other targets always have room.
func TestLimitedTargetIsRechecked(t *testing.T) {
	f := newFixture(t, 3, 0)
	f.SetLimited("a2", true)
	f.NeedsRecheck = func(target Target, _ time.Time) bool { return target.ID == "a2" }
	require.Equal(t, "a2", f.grantedTarget(f.submit(f.ticket())))
	once := f.ticket()
	once.NonIdempotent = true
	require.Empty(t, f.submit(once).Grants, "a non-idempotent request is not used for it")
}

// Guards against a limit that no longer holds but still closes the target.
func TestTargetWithoutLimitIsOpen(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.SetLimited("a0", true)
	first := f.ticket()
	f.submit(first)
	f.Withhold("a0", first, f.now.Add(time.Minute), f.now)
	f.SetLimited("a0", false)
	f.submit(f.ticket())
	f.report("a0", 0, 1)
	require.Equal(t, "a0", f.grantedTarget(f.Step(f.now)))
}
