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
	for _, u := range []Use{Probe, Offer, Check} {
		require.Equal(t, Answer{}, r.Admit(u, now))
	}
	opens := now.Add(time.Second)
	r.Close(opens)
	require.Equal(t, Answer{Opens: opens}, r.Admit(Request, now))
	require.True(t, r.Admit(Request, opens).Admitted)
	r.SetLimited(false)
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
