package forwarder

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// All targets of one service turn requests away while another one is busy and sound:
// further attempts at the first are paid from its own requests alone.
func TestEachServicePaysItsOwnRetries(t *testing.T) {
	f := New(Options{
		Budget: Budget{RetryRatio: 0.2, RetryAllowance: 60, RetryWindow: 10 * time.Second},
		Fleet:  func() int { return 1 }, Logger: log.NewNopLogger(), Scope: tally.NoopScope,
	})
	sound, shedding := f.service("sound"), f.service("shedding")
	now, requests, attempts := time.Unix(1000, 0), 0, 0
	// The whole shares of the allowance are granted once a window has passed.
	require.True(t, sound.again(now) && shedding.again(now))
	now = now.Add(20 * time.Second)
	for range 8000 {
		now = now.Add(time.Millisecond)
		sound.count(now)
		if now.UnixMilli()%10 == 0 {
			shedding.count(now)
			requests++
			for shedding.again(now) {
				attempts++
			}
		}
	}
	require.LessOrEqual(t, float64(attempts), 0.2*float64(requests)+60)
	require.Greater(t, attempts, 30)

	f.SetBudget(Budget{})
	now = now.Add(time.Minute)
	shedding.count(now)
	require.False(t, shedding.again(now), "bounds that were taken back")
}
