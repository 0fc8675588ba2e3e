package forwarder

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/process/sizer"
	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// TestRetryBudgetsArePerService guards against a budget that all services share. While
// all targets of one service reject requests, the requests of a busy and healthy
// service would then raise the number of retries at the first.
func TestRetryBudgetsArePerService(t *testing.T) {
	f := New(Options{
		Budget:    Budget{RetryRatio: 0.2, RetryAllowance: 60, RetryWindow: 10 * time.Second},
		FleetSize: fixedSize(1), Logger: log.NewNopLogger(), Scope: tally.NoopScope,
	})
	now, requests, attempts := time.Unix(1000, 0), 0, 0
	f.started = now
	healthy, shedding := f.service("healthy"), f.service("shedding")
	require.False(t, healthy.takeRetry(1, now), "the previous process may have used the share")
	now = now.Add(20 * time.Second)
	for range 8000 {
		now = now.Add(time.Millisecond)
		healthy.countRequest(1, now)
		if now.UnixMilli()%10 == 0 {
			shedding.countRequest(1, now)
			requests++
			for shedding.takeRetry(1, now) {
				attempts++
			}
		}
	}
	// The retries stay within the service's own budget, RetryRatio*requests plus
	// RetryAllowance. They exceed the share of the allowance that the instance uses,
	// which is a half, so the requests of the service raise its budget.
	require.LessOrEqual(t, float64(attempts), 0.2*float64(requests)+60)
	require.Greater(t, attempts, 30)

	f.SetBudget(Budget{})
	now = now.Add(time.Minute)
	shedding.countRequest(1, now)
	require.False(t, shedding.takeRetry(1, now), "a retry was granted under an empty budget")
}

// fixedSize returns the size of a fleet that is known.
func fixedSize(n int) func(time.Time) sizer.Size {
	return func(time.Time) sizer.Size { return sizer.Size{Instances: n, Known: n, Settled: true} }
}

// Guards against an instance that has met nobody and takes the whole allowance, and against one
// that then makes no retries at all.
func TestInstanceThatHasMetNobodyRetriesOnlyWhatItsRequestsEarn(t *testing.T) {
	f := New(Options{
		Budget:    Budget{RetryRatio: 0.2, RetryAllowance: 60, RetryWindow: 10 * time.Second},
		FleetSize: func(time.Time) sizer.Size { return sizer.Size{Instances: 30} }, Logger: log.NewNopLogger(), Scope: tally.NoopScope,
	})
	now, granted := f.started.Add(time.Minute), 0
	s := f.service("parts")
	for range 100 {
		s.countRequest(1, now)
	}
	for s.takeRetry(1, now) {
		granted++
	}
	require.InDelta(t, 18, granted, 1)
}

// Guards against a client that is told to return although its service lacks room: it would find
// no more of it then. While nothing waits, most retries are kept for those that have returned.
func TestShedRequestsGetTheirRetriesWhileOthersWait(t *testing.T) {
	f := New(Options{
		Budget:    Budget{RetryRatio: 0.2, RetryWindow: 10 * time.Second},
		FleetSize: fixedSize(1), Logger: log.NewNopLogger(), Scope: tally.NoopScope,
	})
	now := f.started.Add(time.Minute)
	s := f.service("parts")
	for range 100 {
		s.countRequest(1, now)
	}
	s.countReturn(now)
	granted := 0
	for s.takeRetryAfterShed(1, false, now) {
		granted++
	}
	require.InDelta(t, 0.2*18, granted, 1, "a fifth of the budget")
	s.placer.Submit(&placer.Ticket{Kind: "look", Arrived: now, Deadline: now.Add(time.Second)})
	for s.takeRetryAfterShed(1, false, now) {
		granted++
	}
	require.InDelta(t, 18, granted, 1, "all of it")
}
