package assembler

import (
	"net/http"
	"net/netip"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	oteltrace "go.opentelemetry.io/otel/trace"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// Options holds the options of an instance.
type Options struct {
	// Address is where callers reach the instance, Peer where the other instances do,
	// and Admin where operators do.
	Address, Peer, Admin netip.AddrPort
	// Place is the place that the instance serves, and Zone its availability zone.
	Place, Zone string
	// PlatformURL is the base URL of the platform.
	PlatformURL string
	// Seeds are peer addresses to contact besides those of the list.
	Seeds []netip.AddrPort
	// Keys are shared by all instances. The first one signs.
	Keys framer.Keys
	// Baseline is the name of a simple balancing policy that replaces the dispatcher's
	// own, for comparison. Any name that dispatcher.NewBaseline does not know, such as
	// "ours", selects the dispatcher's own policy.
	Baseline string
	// NameAllInstances makes address responses name all instances instead of the homes
	// of the service, for comparison. Each instance then owns all targets.
	NameAllInstances bool

	Logger log.Logger
	Scope  tally.Scope
	// MetricsHandler serves the metrics.
	MetricsHandler http.Handler
	Tracer         oteltrace.Tracer
}
