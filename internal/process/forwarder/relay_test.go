package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/limiter"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
	"oriolecourse.example/oriolecourse/internal/version/router"
)

// cutFixture is a forwarder that is cut off from the targets of its only service.
type cutFixture struct {
	*Forwarder
	relayed []*acceptor.Request
	result  RelayResult
	// status and header are those of the response of another instance.
	status int
	header http.Header
}

func newCutFixture(t *testing.T) *cutFixture {
	t.Helper()
	f := &cutFixture{status: http.StatusOK}
	table := &router.Table{
		Version: 5, Services: []router.Service{{Name: "parts", HealthPath: "/healthz", MaxConnections: 10}},
		Routes: []router.Route{{
			Name: "order", Host: "h", Prefix: "/order/", Timeout: 2 * time.Second, LatencyObjective: time.Second, MaxAttempts: 2,
			Services: []router.WeightedService{{Service: "parts", Weight: 1}},
		}},
	}
	require.NoError(t, table.Prepare())
	f.Forwarder = New(Options{
		Dialect: Dialect{
			RequestID: "Id", Deadline: "Deadline", RetryAfter: "Return",
			Statement: func(*sender.Response) Statement { return Statement{Limit: limiter.Unlimited} }, TargetName: func(http.Header) string { return "" },
		},
		Budget: Budget{RetryWindow: time.Second, ProbeRate: 100}, Table: func() *router.Table { return table },
		FleetSize: fixedSize(2), CanRelay: func() bool { return true },
		OnCutOff:   func(bool, time.Time) {},
		LimitOwner: func(string, string) (limiter.Owner, bool) { return limiter.Owner{}, false },
		Relay: func(_ context.Context, q *acceptor.Request, route *router.Route) (*acceptor.Response, RelayResult) {
			require.Equal(t, []router.WeightedService{{Service: "parts", Weight: 1}}, route.Services)
			f.relayed = append(f.relayed, q)
			return &acceptor.Response{Status: f.status, Header: f.header}, f.result
		},
		Logger: log.NewNopLogger(), Scope: tally.NoopScope,
	})
	var runs []registrar.UsableRun
	for port := range uint16(maxTargets) {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+1)
		runs = append(runs, registrar.UsableRun{Run: registrar.Run{Name: address.String(), Service: "parts", Slots: 1, Address: address}})
	}
	f.SetTargets(map[string][]registrar.UsableRun{"parts": runs}, time.Now())
	f.CheckLinks(time.Now())
	require.False(t, f.CutOff(), "nothing has failed")
	for _, r := range runs {
		f.recordContact(r.Address, context.DeadlineExceeded)
	}
	require.Eventually(t, f.CutOff, 5*time.Second, time.Millisecond)
	return f
}

func order(at time.Time) *acceptor.Request {
	return &acceptor.Request{Arrived: at, Method: "POST", RequestURI: "/order/1", Host: "h", Header: http.Header{"Id": {"1"}, "Deadline": {"1500"}}}
}

// Guards against a request that loses its deadline, or is passed on and on, while it is
// relayed.
func TestRelayedRequestKeepsItsDeadlineAndIsNotRelayedAgain(t *testing.T) {
	f := newCutFixture(t)
	require.Equal(t, http.StatusOK, f.Serve(t.Context(), order(time.Now().Add(-time.Second))).Status)
	require.Len(t, f.relayed, 1)
	left, err := time.ParseDuration(f.relayed[0].Header.Get("Deadline") + "ms")
	require.NoError(t, err)
	require.LessOrEqual(t, left, 500*time.Millisecond)
	require.Positive(t, left)

	route := f.options.Table().Match("h", "/order/1")
	require.Equal(t, http.StatusMisdirectedRequest, f.ServeRelayed(t.Context(), order(time.Now()), route).Status)
	require.Len(t, f.relayed, 1)
}

// Guards against "not run" for a request that another instance may have run, and against
// requests that ask every instance in turn while none takes them.
func TestRelayThatFailsSaysWhatIsKnown(t *testing.T) {
	f := newCutFixture(t)
	f.result = RelayUnknown
	require.Equal(t, http.StatusBadGateway, f.Serve(t.Context(), order(time.Now())).Status)
	for _, c := range []struct {
		result RelayResult
		asked  int
	}{{RelayUnsent, 3}, {RelayRefused, 1}} {
		f.result, f.relayed = c.result, nil
		for range 3 {
			r := f.Serve(t.Context(), order(time.Now()))
			require.Equal(t, http.StatusServiceUnavailable, r.Status)
			require.NotEmpty(t, r.Header.Get("Return"))
		}
		require.Len(t, f.relayed, c.asked)
	}
}

// Guards against "not run" for a request that this instance has sent to a target before
// another instance rejected it.
func TestRejectionElsewhereDoesNotHideAnAttempt(t *testing.T) {
	f := newCutFixture(t)
	f.status, f.header = http.StatusServiceUnavailable, http.Header{"Return": {"0.100"}}
	q := order(time.Now())
	table := f.options.Table()
	r := &request{Request: q, forwarder: f.Forwarder, logger: log.NewNopLogger(), route: table.Match("h", "/order/1"), version: 5, service: f.service("parts"), deadline: time.Now().Add(time.Second)}
	response, o := r.relay(t.Context())
	require.Equal(t, http.StatusServiceUnavailable, response.Status)
	require.Equal(t, relayed, o)
	r.mayHaveRun = true
	response, o = r.relay(t.Context())
	require.Equal(t, http.StatusBadGateway, response.Status)
	require.Equal(t, unknown, o)
}

// Guards against a target's 429, 503 or 408 to a request that it has run, which reaches a client
// through an instance of an earlier build. Only a rejection of the instance itself is true.
func TestStatusOfARunThroughAnEarlierBuildIsNoRefusal(t *testing.T) {
	f := newCutFixture(t)
	for name, c := range map[string]struct {
		status int
		header http.Header
		want   int
	}{
		"503 of a target":                  {http.StatusServiceUnavailable, http.Header{"Id": {"1"}, "Signature": {"s"}}, http.StatusBadGateway},
		"503 of a target with Retry-After": {http.StatusServiceUnavailable, http.Header{"Return": {"1"}, "Signature": {"s"}}, http.StatusBadGateway},
		"503 without any field":            {http.StatusServiceUnavailable, nil, http.StatusBadGateway},
		"429 of a target":                  {http.StatusTooManyRequests, http.Header{"Return": {"1"}}, http.StatusBadGateway},
		"408 of a target":                  {http.StatusRequestTimeout, http.Header{"Id": {"1"}}, http.StatusBadGateway},
		"rejection":                        {http.StatusServiceUnavailable, http.Header{"Return": {"0.100"}}, http.StatusServiceUnavailable},
		"failure":                          {http.StatusInternalServerError, http.Header{"Id": {"1"}}, http.StatusInternalServerError},
	} {
		f.status, f.header = c.status, c.header
		r := f.Serve(t.Context(), order(time.Now()))
		require.Equal(t, c.want, r.Status, name)
		if c.want != c.status {
			require.Empty(t, r.Header, name)
		}
	}
}

// Guards against status 421 to the instance that has relayed a request, after a target of this one
// may have run it: the other instance then says that the request has not run.
func TestRelayedRequestThatMayHaveRunIsNotGivenBack(t *testing.T) {
	f := newCutFixture(t)
	r := &request{Request: order(time.Now()), forwarder: f.Forwarder, service: f.service("parts"), isRelayed: true}
	response, o := r.passOn(t.Context())
	require.Equal(t, http.StatusMisdirectedRequest, response.Status)
	require.Equal(t, unreached, o)
	r.mayHaveRun = true
	response, o = r.passOn(t.Context())
	require.Equal(t, http.StatusBadGateway, response.Status)
	require.Equal(t, unknown, o)
}

// Guards against a request that raises the retry budget at each instance that it passes: at
// one that finds out while it serves the request that it reaches no target, and at the one
// that then serves it.
func TestRequestThatIsRelayedCountsOnce(t *testing.T) {
	f := newCutFixture(t)
	f.SetBudget(Budget{RetryRatio: 100, RetryWindow: time.Second, ProbeRate: 100})
	s := f.service("parts")
	for _, serve := range []func() *acceptor.Response{
		func() *acceptor.Response { return f.Serve(t.Context(), order(time.Now())) },
		func() *acceptor.Response {
			return f.ServeRelayed(t.Context(), order(time.Now()), f.options.Table().Match("h", "/order/1"))
		},
	} {
		s.recordAnswer(time.Now())
		require.False(t, f.CutOff())
		require.Contains(t, []int{http.StatusOK, http.StatusMisdirectedRequest}, serve().Status)
		require.False(t, s.takeRetry(0, time.Now()))
	}
	require.Len(t, f.relayed, 1)
}
