package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a target with a limit that gets probes, offers or checks, which count
// against the limit, and against one that stays closed when its limit has changed.
func TestLimitedRun(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New().Run("a")
	for _, u := range []Use{Request, Probe, Offer, Check} {
		require.Equal(t, Answer{Admitted: true}, r.Admit(u, now))
	}
	r.SetLimited(true)
	require.Equal(t, Answer{Admitted: true, LastChoice: true}, r.Admit(Request, now))
	for _, u := range []Use{Probe, Offer} {
		require.Equal(t, Answer{}, r.Admit(u, now))
	}
	require.Equal(t, Answer{Admitted: true, LastChoice: true}, r.Admit(Check, now))
	opens := now.Add(time.Second)
	r.Close(opens, now)
	require.Equal(t, Answer{Opens: opens}, r.Admit(Request, now))
	require.True(t, r.Admit(Request, opens).Admitted)
	r.SetLimited(false)
	require.Equal(t, Answer{Admitted: true}, r.Admit(Request, now))
}

// Guards against a message of any kind to a run that has asked for a pause, against a pause
// that a later and shorter one ends early, and against one that lasts longer than asked.
func TestPausedRun(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New().Run("a")
	ends := now.Add(3 * time.Second)
	require.True(t, r.Pause(ends, now))
	require.False(t, r.Pause(now.Add(time.Second), now))
	for _, u := range []Use{Request, Probe, Offer, Check} {
		require.Equal(t, Answer{Opens: ends}, r.Admit(u, ends.Add(-1)))
		require.Equal(t, Answer{Admitted: true}, r.Admit(u, ends))
	}
	require.True(t, r.Pause(ends.Add(time.Second), ends), "another pause")
}

// Guards against a cold run that gets requests without a permit, that is not probed, or that
// stays closed when it is warm.
func TestColdRun(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New().Run("a")
	warm := now.Add(3 * time.Second)
	require.True(t, r.SetCold(warm))
	require.False(t, r.SetCold(warm))
	r.Close(now.Add(time.Minute), now)
	require.Equal(t, Answer{Opens: warm}, r.Admit(Request, now), "the warm-up ends before the next permit")
	require.Equal(t, Answer{Opens: warm}, r.Admit(Offer, now))
	require.Equal(t, Answer{Admitted: true, Cold: true}, r.Admit(Probe, now))
	require.Equal(t, Answer{Admitted: true}, r.Admit(Request, warm))

	now = warm
	warm = now.Add(7 * time.Second)
	require.True(t, r.SetCold(warm), "cold again")
	for _, wait := range []time.Duration{300, 600, 1200, 2400, 2400} {
		opens := now.Add(wait * time.Millisecond)
		r.Close(now.Add(300*time.Millisecond), now)
		r.Close(now.Add(time.Second), now)
		require.Equal(t, Answer{Opens: opens}, r.Admit(Request, now), "it asks less often")
		require.Equal(t, Answer{Admitted: true, Cold: true}, r.Admit(Request, opens))
		now = opens
	}
	r.Granted()
	r.Close(now.Add(50*time.Millisecond), now)
	require.Equal(t, Answer{Opens: now.Add(50 * time.Millisecond)}, r.Admit(Request, now))
	require.True(t, r.SetCold(now), "it says that it is warm")
	require.Equal(t, Answer{Admitted: true}, r.Admit(Request, now))
}

// Guards against a state that is forgotten before the list names the run, and against
// states of runs that are gone for good.
func TestStateIsKeptForRunsThatAreNotListed(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New()
	a.Run("a").SetLimited(true)
	none := func(string) bool { return false }
	a.Retain(none, now)
	a.Retain(none, now.Add(retention))
	require.True(t, a.Run("a").Admit(Request, now).LastChoice)
	a.Retain(none, now.Add(retention+1))
	require.False(t, a.Run("a").Admit(Request, now).LastChoice)
}
