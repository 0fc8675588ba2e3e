package surveyor

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func target(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
}

// Guards against a check for each dead target, and against one that finds dead targets and
// takes the instance for cut off although others answer.
func TestDeadTargetsAreNotACut(t *testing.T) {
	s := New()
	s.RecordFailure(target(1), start)
	s.RecordFailure(target(2), start)
	s.RecordFailure(target(2), start)
	require.False(t, s.StartCheck(30, start))
	s.RecordFailure(target(3), start)
	require.True(t, s.StartCheck(30, start))
	require.False(t, s.StartCheck(30, start), "one check at a time")
	s.RecordFailure(target(4), start)
	s.RecordAnswer()
	require.False(t, s.EndCheck(true, start))
	require.False(t, s.CutOff())
	require.False(t, s.StartCheck(30, start.Add(time.Hour)))
}

func TestCutIsFoundAndItsEndToo(t *testing.T) {
	s, now := New(), start
	for n := range byte(3) {
		s.RecordFailure(target(n), now)
	}
	require.True(t, s.StartCheck(30, now))
	require.True(t, s.EndCheck(false, now))
	require.True(t, s.CutOff())
	require.False(t, s.StartCheck(30, now.Add(checkInterval/2)))
	now = now.Add(time.Minute)
	require.True(t, s.StartCheck(30, now), "it goes on checking without any request")
	require.False(t, s.EndCheck(false, now), "it was cut off before")
	require.True(t, s.RecordAnswer())
	require.False(t, s.RecordAnswer())
	require.False(t, s.CutOff())
}

// Guards against an answer during a check that a contact of the check itself does not see.
func TestAnswerDuringACheckCounts(t *testing.T) {
	s := New()
	for n := range byte(3) {
		s.RecordFailure(target(n), start)
	}
	require.True(t, s.StartCheck(30, start))
	s.RecordAnswer()
	require.False(t, s.EndCheck(false, start))
	require.False(t, s.CutOff())
}

func TestFewTargetsSuffice(t *testing.T) {
	s := New()
	s.RecordFailure(target(1), start)
	require.False(t, s.StartCheck(0, start))
	require.False(t, s.StartCheck(1, start.Add(2*suspicionTime)), "the failure is too old")
	s.RecordFailure(target(1), start)
	require.True(t, s.StartCheck(1, start))
}
