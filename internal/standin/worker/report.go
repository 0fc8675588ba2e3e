package worker

import (
	"fmt"
	"time"

	"github.com/labstack/echo/v4"
)

// state is the state that a target reports in its headers.
type state string

// The values of the header Target-State.
const (
	ready    state = "ready"
	warming  state = "warming"
	draining state = "draining"
	shedding state = "shed"
)

// report is the load of a target at one time.
type report struct {
	at              time.Time
	running, queued int64
}

// setHeaders sets the headers of a response: state, start id and load report.
func (w *Worker) setHeaders(c echo.Context, s state) {
	header := c.Response().Header()
	header.Set("Target-State", string(s))
	header.Set("Target-Start", w.start)
	omit, lag := w.faults.reportFaults()
	if omit {
		return
	}
	r := w.loadReport(time.Now(), lag)
	header.Set("endpoint-load-metrics", fmt.Sprintf(
		"TEXT named_metrics.running=%d, named_metrics.queued=%d, named_metrics.slots=%d",
		r.running, r.queued, w.settings.Slots))
}

// loadReport returns the last report if it is younger than lag, and the current load
// otherwise.
func (w *Worker) loadReport(now time.Time, lag time.Duration) report {
	w.mu.Lock()
	defer w.mu.Unlock()
	if lag == 0 || now.Sub(w.lastReport.at) >= lag {
		w.lastReport = report{at: now, running: w.running.Load(), queued: w.queued.Load()}
	}
	return w.lastReport
}
