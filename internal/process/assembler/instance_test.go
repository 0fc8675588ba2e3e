package assembler

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"oriolecourse.example/oriolecourse/internal/process/adopter"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/request/handler"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// newInstance returns an instance that is not started.
func newInstance() *Instance {
	return New(Options{
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Peer:    netip.MustParseAddrPort("127.0.0.1:2"),
		Place:   "p",
		Zone:    "z",
		Logger:  log.NewNopLogger(),
		Scope:   tally.NoopScope,
		Tracer:  noop.NewTracerProvider().Tracer(""),
	})
}

// publish puts a settings tree with one service in force.
func publish(t *testing.T, i *Instance, version, service string) {
	t.Helper()
	text := "version: " + version + "\nplaces: {p: {services: {" + service + ": {kinds: {k: {deadline: 1s}}}}}}\n"
	now := time.Now()
	require.Equal(t, adopter.Accepted, i.settings.Offer([]byte(text), 0, 0, now), text)
	i.apply(now)
}

// TestForwardedOperations guards against wrong outcomes of forwarded operations when
// the settings of the executor differ from those of the sender: it has no settings
// yet, lacks the kind, or allows the kind to run more than once. In each case an
// earlier request with the same operation id may have run.
func TestForwardedOperations(t *testing.T) {
	i := newInstance()
	token, ok := i.operationTable.Token(time.Now())
	require.True(t, ok)
	h := http.Header{handler.HeaderOperation: {token.String() + "/part"}}
	send := func(path string) *handler.Outcome {
		return i.runOperation(context.Background(), relayer.Operation{Method: http.MethodPost, Path: path, Header: h}, time.Now())
	}
	require.Equal(t, handler.Unknown, send("/s/s/k").Kind, "no settings are in force yet")

	publish(t, i, "1", "s")
	require.Equal(t, handler.Unknown, send("/s/s/other").Kind, "an earlier request with the operation id may have run")
	require.Equal(t, handler.NotExecuted, send("/s/s/k").Kind)
	require.Equal(t, 1, i.operationTable.Stats().Records, "the operation must have a record although the kind may run more than once here")
}

// TestStateOfRemovedServicesAndPeersIsDropped guards against memory that grows
// without bound when services are renamed and instances replaced many times.
func TestStateOfRemovedServicesAndPeersIsDropped(t *testing.T) {
	i := newInstance()
	now := time.Now()
	for n := range 50 {
		at := now.Add(time.Duration(n) * removedRetention)
		publish(t, i, strconv.Itoa(n+1), "s"+strconv.Itoa(n))
		i.apply(at)
		peer := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n+1))
		i.tokens.store(detector.Member{Instance: lister.Instance{Peer: peer}}, "token", at)
		i.platformOutages.Store(peer, now)
		i.peersWithPlatform()
		i.recordSuccessor(relayer.Rumor{Instance: peer, Start: "1", TTL: time.Second}, at)
	}
	require.LessOrEqual(t, len(i.services.all()), 2)
	require.Len(t, i.tokens.cached, 1)
	i.platformOutages.Range(func(peer, _ any) bool { t.Error("the expired outage report is still stored:", peer); return true })
	last := endedIncarnation{peer: netip.MustParseAddrPort("127.0.0.1:50")}
	i.successors.Range(func(of, _ any) bool { require.Equal(t, last, of); return true })
}
