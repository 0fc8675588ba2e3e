package assembler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// TestDrainTimesIncludeEarlierSettings guards against an instance that stops too
// early after the settings were changed. Address responses and requests that began
// under longer durations still use them.
func TestDrainTimesIncludeEarlierSettings(t *testing.T) {
	settings := func(homesTTL, deadline time.Duration) *resolver.Snapshot {
		return &resolver.Snapshot{Policies: map[resolver.Key]*resolver.Policy{{}: {HomesTTL: homesTTL, Deadline: deadline}}}
	}
	start := time.Unix(1000, 0)
	after := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	d := &drainTimes{}
	d.update(settings(30*time.Second, 20*time.Second), start)
	d.update(settings(time.Second, 2*time.Second), after(10))
	for _, test := range []struct{ now, responsesExpire, requestsEnd int }{{11, 40, 30}, {29, 40, 31}, {60, 61, 62}} {
		responsesExpire, requestsEnd := d.at(after(test.now))
		require.Equal(t, after(test.responsesExpire), responsesExpire, test)
		require.Equal(t, after(test.requestsEnd), requestsEnd, test)
	}
	currentOnly := &drainTimes{settings: d.settings}
	responsesExpire, requestsEnd := currentOnly.at(after(11))
	require.False(t, responsesExpire.Equal(after(40)) || requestsEnd.Equal(after(30)), "control: without the earlier settings both times must differ")
}
