package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/limiter"
	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// Guards against a limit that ends because one response names it in a way that cannot be
// read: the target then gets more than it takes.
func TestUnreadableLimitLeavesTheKnownOne(t *testing.T) {
	f := revokeFixture(t, func(*Forwarder) {})
	var stated Statement
	f.options.Dialect.Statement = func(*sender.Response) Statement { return stated }
	target, now := placer.Target{ID: "i/1"}, time.Unix(1000, 0)
	for _, c := range []struct {
		stated Statement
		limit  float64
	}{
		{Statement{Limit: 10}, 10},
		{Statement{Limit: limiter.Unlimited, LimitUnreadable: true}, 10},
		{Statement{Limit: limiter.Unlimited}, limiter.Unlimited},
	} {
		stated = c.stated
		f.service("parts").observe(target, &sender.Response{}, forRequest, now)
		require.Equal(t, c.limit, f.limiter.Rate(target.ID))
	}
}
