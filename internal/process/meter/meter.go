package meter

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between two updates of the scraped page.
const reportInterval = time.Second

// The paths of Meter.Handler.
const (
	Path        = "/metrics"
	RuntimePath = "/metrics/runtime"
)

// Meter holds the metrics of a process.
type Meter struct {
	// Scope is the root scope of all metrics.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format at Path, and those of the Go
	// runtime at RuntimePath. They are apart because some readers keep only the start of a page.
	Handler http.Handler

	closer io.Closer
}

// New returns a meter whose metric names start with the name of the program.
func New() *Meter {
	// A separate registry for each meter lets several instances run in one process.
	registry := client.NewRegistry()
	runtime := client.NewRegistry()
	runtime.MustRegister(client.NewGoCollector())
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "oriolecourse",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	pages := http.NewServeMux()
	pages.Handle(Path, reporter.HTTPHandler())
	pages.Handle(RuntimePath, promhttp.HandlerFor(runtime, promhttp.HandlerOpts{}))
	return &Meter{Scope: scope, Handler: pages, closer: closer}
}

// Close reports the metrics for the last time.
func (m *Meter) Close() error {
	return m.closer.Close()
}
