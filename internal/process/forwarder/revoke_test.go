package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/limiter"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
	"oriolecourse.example/oriolecourse/internal/request/placer"
	"oriolecourse.example/oriolecourse/internal/version/router"
)

// startTarget starts a target that answers everything and counts the requests other than
// probes.
func startTarget(t *testing.T, zone string) (registrar.UsableRun, *atomic.Int32) {
	t.Helper()
	requests := &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			requests.Add(1)
		}
		w.Header().Set("Id", r.Header.Get("Id"))
	}))
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return registrar.UsableRun{Run: registrar.Run{Name: zone, Zone: zone, Service: "parts", Slots: 4, Address: address}}, requests
}

// revokeFixture is a forwarder whose targets all name a limit, so that each request waits
// for a permit between its grant and its sending. During that wait onPermit is called.
func revokeFixture(t *testing.T, onPermit func(f *Forwarder)) *Forwarder {
	t.Helper()
	table := &router.Table{
		Version: 5, Services: []router.Service{{Name: "parts", HealthPath: "/healthz", MaxConnections: 10}},
		Routes: []router.Route{{
			Name: "order", Host: "h", Prefix: "/order/", Timeout: 2 * time.Second, LatencyObjective: time.Second, MaxAttempts: 2,
			Services: []router.WeightedService{{Service: "parts", Weight: 1}},
		}},
	}
	require.NoError(t, table.Prepare())
	var f *Forwarder
	f = New(Options{
		Zone: "a",
		Dialect: Dialect{
			RequestID: "Id", Deadline: "Deadline", RetryAfter: "Return", Target: "To",
			Statement: func(*sender.Response) Statement { return Statement{Limit: 1000} }, TargetName: func(http.Header) string { return "" },
			Load:        func(http.Header) (placer.Load, bool) { return placer.Load{}, false },
			NotExecuted: func(*sender.Response) bool { return false },
		},
		Budget: Budget{RetryWindow: time.Second, ProbeRate: 100}, Table: func() *router.Table { return table },
		FleetSize: fixedSize(1), CanRelay: func() bool { return false }, OnCutOff: func(bool, time.Time) {},
		CanSearch:   func(string, time.Time) bool { return false },
		SpreadLimit: func(string, string, float64, time.Time) {},
		LimitOwner:  func(string, string) (limiter.Owner, bool) { return limiter.Owner{}, false },
		AskPermit: func(context.Context, netip.AddrPort, string, string, limiter.Fact) (limiter.Permit, error) {
			onPermit(f)
			return limiter.Permit{Fact: limiter.Fact{Rate: 1000}}, nil
		},
		Logger: log.NewNopLogger(), Scope: tally.NoopScope,
	})
	return f
}

func limited(f *Forwarder, runs ...registrar.UsableRun) {
	now := time.Now()
	for _, u := range runs {
		f.ReceiveLimit("parts", u.Key(), limiter.Fact{Rate: 1000}, now)
	}
	f.SetTargets(map[string][]registrar.UsableRun{"parts": runs}, now)
}

// A zone is emptied while a request that was granted one of its targets waits for a permit:
// the request must go to a target of another zone. Guards against any delay between the
// choice of a target and the sending, in which the target leaves or its zone is emptied.
func TestGrantedRequestIsNotSentToATargetThatBecameUnusable(t *testing.T) {
	emptied, reachedEmptied := startTarget(t, "a")
	other, reachedOther := startTarget(t, "b")
	f := revokeFixture(t, func(f *Forwarder) {
		f.SetTargets(map[string][]registrar.UsableRun{"parts": {other}}, time.Now())
	})
	limited(f, emptied)
	r := f.Serve(t.Context(), order(time.Now()))
	require.Equal(t, http.StatusOK, r.Status)
	require.Zero(t, reachedEmptied.Load(), "the zone is emptied")
	require.EqualValues(t, 1, reachedOther.Load())
	require.Zero(t, f.RequestsInZones("a", "b"))
}

// All zones are emptied while a request waits for a permit: it must be rejected at once, as
// one that has not run, and so must later ones.
func TestRequestIsRejectedAtOnceWithoutUsableTargets(t *testing.T) {
	target, reached := startTarget(t, "a")
	f := revokeFixture(t, func(f *Forwarder) { f.SetTargets(nil, time.Now()) })
	limited(f, target)
	for range 2 {
		began := time.Now()
		r := f.Serve(t.Context(), order(began))
		require.Equal(t, http.StatusServiceUnavailable, r.Status)
		after, err := time.ParseDuration(r.Header.Get("Return") + "s")
		require.NoError(t, err)
		require.Greater(t, after, 100*time.Millisecond)
		require.Less(t, after, time.Second)
		require.Less(t, time.Since(began), time.Second, "before the deadline")
	}
	require.Zero(t, reached.Load())
}
