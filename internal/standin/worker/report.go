package worker

import (
	"fmt"
	"time"

	"github.com/labstack/echo/v4"
)

// state is the state that a target tells in its headers.
type state string

// The states of the header Target-State.
const (
	ready    state = "ready"
	warming  state = "warming"
	draining state = "draining"
	shedding state = "shed"
)

// report is one load report.
type report struct {
	at              time.Time
	running, queued int64
}

// describe sets the headers that every answer of a target carries.
func (w *Worker) describe(c echo.Context, s state) {
	header := c.Response().Header()
	header.Set("Target-State", string(s))
	header.Set("Target-Start", w.start)
	mute, lag := w.faults.reporting()
	if mute {
		return
	}
	r := w.load(time.Now(), lag)
	header.Set("endpoint-load-metrics", fmt.Sprintf(
		"TEXT named_metrics.running=%d, named_metrics.queued=%d, named_metrics.slots=%d",
		r.running, r.queued, w.settings.Slots))
}

// load returns the current load, or the one reported last if that is younger
// than the lag.
func (w *Worker) load(now time.Time, lag time.Duration) report {
	w.mu.Lock()
	defer w.mu.Unlock()
	if lag == 0 || now.Sub(w.held.at) >= lag {
		w.held = report{at: now, running: w.running.Load(), queued: w.queued.Load()}
	}
	return w.held
}
