package assembler

import (
	"net/http"
	"net/netip"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	oteltrace "go.opentelemetry.io/otel/trace"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// Options holds what an instance is told at its start.
type Options struct {
	// Address serves callers, Peer the other instances, Admin operators.
	Address, Peer, Admin netip.AddrPort
	// Place is the place of the settings tree, Zone the availability zone.
	Place, Zone string
	// PlatformURL is the base URL of the platform.
	PlatformURL string
	// Seeds are peer addresses to try besides those of the list.
	Seeds []netip.AddrPort
	// Keys are shared by all instances; the first one signs.
	Keys framer.Keys
	// Baseline names the way in which targets are chosen.
	Baseline string
	// NameAllInstances makes answers name all instances instead of the homes of a service.
	NameAllInstances bool

	Logger log.Logger
	Scope  tally.Scope
	// MetricsHandler serves the counters.
	MetricsHandler http.Handler
	Tracer         oteltrace.Tracer
}
