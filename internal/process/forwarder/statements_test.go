package forwarder

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/limiter"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
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

// Replays a request that takes long at a target which has turned another one away and wants
// nothing from this instance for a while. Guards against messages that a request under way
// causes there: each overdue request asked the target for its load four times a second.
func TestPausedTargetIsNotAskedAboutAnOverdueRequest(t *testing.T) {
	f := revokeFixture(t, func(*Forwarder) {})
	f.options.Dialect.Statement = func(*sender.Response) Statement { return Statement{Limit: limiter.Unlimited} }
	messages := &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { messages.Add(1) }))
	t.Cleanup(server.Close)
	u := registrar.UsableRun{Run: registrar.Run{Name: "i", Zone: "a", Service: "parts", Slots: 1, Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}}
	f.SetTargets(map[string][]registrar.UsableRun{"parts": {u}}, time.Now())
	s, now := f.service("parts"), time.Now()
	g := &placer.Grant{Target: s.linkTargets()[0], Ticket: &placer.Ticket{Kind: "order"}}
	s.placer.Report(g.Target.ID, placer.Load{Slots: 1, Slowdown: 1}, now, now)

	s.probe(g.Target, now)
	require.True(t, s.contact(g.Target))
	require.EqualValues(t, 2, messages.Load(), "both ways to ask work")

	s.pause(g.Target, time.Minute, now)
	s.probeOverdue(g, now)
	s.reportSlow(g, now)
	s.contact(g.Target)
	require.Never(t, func() bool { return messages.Load() > 2 }, 100*time.Millisecond, 5*time.Millisecond)
}
