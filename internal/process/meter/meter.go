package meter

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// interval is the time between two reports of tally to the scraped page.
const interval = time.Second

// Meter holds the root scope of a process.
type Meter struct {
	// Scope is the root of all counters.
	Scope tally.Scope
	// Handler serves the counters in the Prometheus text format.
	Handler http.Handler

	closer io.Closer
}

// New makes a meter whose counters start with the name of the program.
func New() *Meter {
	// A registry of its own lets several instances live in one process.
	registry := client.NewRegistry()
	registry.MustRegister(client.NewGoCollector())
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "oriolecourse",
		CachedReporter:         r,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, interval)
	return &Meter{Scope: scope, Handler: r.HTTPHandler(), closer: closer}
}

// Close reports the counters a last time.
func (m *Meter) Close() error {
	return m.closer.Close()
}
