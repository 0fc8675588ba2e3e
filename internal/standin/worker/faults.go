package worker

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"oriolecourse.example/oriolecourse/internal/standin/listener"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
)

// The default parameters of the faults.
const (
	// defaultSlowdown multiplies the service times of a slow target.
	defaultSlowdown = 6
	// defaultColdSlowdown multiplies service times at the beginning of a cold start.
	defaultColdSlowdown = 5
	// defaultColdStart is the duration of a cold start.
	defaultColdStart = 5 * time.Second
	// defaultReportLag is the greatest age of a delayed load report.
	defaultReportLag = time.Second
	// defaultResponseDelay is the delay of a late response.
	defaultResponseDelay = time.Second
	// defaultFreeze is the duration of a freeze.
	defaultFreeze = time.Second
)

// crashExitCode is the exit code of a target that crashes by a fault.
const crashExitCode = 3

// faults holds the state of the faults that are on. The zero value has none.
type faults struct {
	mu sync.Mutex
	// slowdown multiplies service times until slowEnd. If slowEnd is zero, the
	// fault stays on.
	slowdown float64
	slowEnd  time.Time
	// coldSlowdown multiplies service times at coldFrom. The multiplier falls
	// linearly to 1 at coldTo.
	coldSlowdown     float64
	coldFrom, coldTo time.Time
	// drain reports the state draining and records the work that arrives meanwhile.
	// reject also rejects that work. silent suppresses the state draining.
	drain, reject, silent bool
	// shed rejects work. fail responds to it with an error at once.
	shed, fail bool
	// omitLoad leaves the load report out of responses. reportLag is the greatest
	// age of a load report; 0 sends the current load.
	omitLoad  bool
	reportLag time.Duration
	// truncate closes the connection after half of a response body.
	truncate bool
	// responseDelay delays the response of finished work.
	responseDelay time.Duration
	// frozenUntil is the end of a freeze.
	frozenUntil time.Time
}

// fault switches one fault on or off. The caller of both functions holds
// faults.mu.
type fault struct {
	// on parses the parameters of the fault and switches it on. There is at least
	// one parameter; it is empty if the caller named none.
	on  func(f *faults, parameters []string, now time.Time) error
	off func(f *faults)
}

// faultsByName holds the faults that change how the target behaves. namedFaults adds
// crash, which ends the process at once.
var faultsByName = map[string]fault{
	"slow": {
		on: func(f *faults, p []string, now time.Time) error {
			slowdown, duration, err := parseSlowdown(p, defaultSlowdown, 0)
			if err != nil {
				return err
			}
			f.slowdown, f.slowEnd = slowdown, time.Time{}
			if duration > 0 {
				f.slowEnd = now.Add(duration)
			}
			return nil
		},
		off: func(f *faults) { f.slowdown = 0 },
	},
	"coldstart": {
		on: func(f *faults, p []string, now time.Time) error {
			slowdown, duration, err := parseSlowdown(p, defaultColdSlowdown, defaultColdStart)
			if err != nil {
				return err
			}
			f.coldSlowdown, f.coldFrom, f.coldTo = slowdown, now, now.Add(duration)
			return nil
		},
		off: func(f *faults) { f.coldSlowdown = 0 },
	},
	"drain": {
		on: func(f *faults, p []string, _ time.Time) error {
			f.drain, f.reject, f.silent = true, p[0] == "refuse", p[0] == "silent"
			return nil
		},
		off: func(f *faults) { f.drain, f.reject, f.silent = false, false, false },
	},
	"shed":       boolFault(func(f *faults) *bool { return &f.shed }),
	"failfast":   boolFault(func(f *faults) *bool { return &f.fail }),
	"mute":       boolFault(func(f *faults) *bool { return &f.omitLoad }),
	"halfanswer": boolFault(func(f *faults) *bool { return &f.truncate }),
	"lag":        durationFault(defaultReportLag, func(f *faults) *time.Duration { return &f.reportLag }),
	"lateanswer": durationFault(defaultResponseDelay, func(f *faults) *time.Duration { return &f.responseDelay }),
	"freeze": {
		on: func(f *faults, p []string, now time.Time) error {
			d, err := parseDuration(p[0], defaultFreeze)
			f.frozenUntil = now.Add(d)
			return err
		},
		off: func(f *faults) { f.frozenUntil = time.Time{} },
	},
}

// boolFault returns a fault without parameters.
func boolFault(field func(*faults) *bool) fault {
	return fault{
		on:  func(f *faults, _ []string, _ time.Time) error { *field(f) = true; return nil },
		off: func(f *faults) { *field(f) = false },
	}
}

// durationFault returns a fault with a duration as its only parameter.
func durationFault(defaultValue time.Duration, field func(*faults) *time.Duration) fault {
	return fault{
		on: func(f *faults, p []string, _ time.Time) error {
			d, err := parseDuration(p[0], defaultValue)
			*field(f) = d
			return err
		},
		off: func(f *faults) { *field(f) = 0 },
	}
}

// parseDuration parses a duration. An empty text yields the default.
func parseDuration(text string, defaultValue time.Duration) (time.Duration, error) {
	if text == "" {
		return defaultValue, nil
	}
	d, err := time.ParseDuration(text)
	return d, trace.Wrap(err)
}

// parseSlowdown parses a slowdown and an optional duration, such as "6" or
// "6,50ms". The arguments slowdown and duration are the defaults.
func parseSlowdown(parameters []string, slowdown float64, duration time.Duration) (float64, time.Duration, error) {
	if parameters[0] != "" {
		var err error
		if slowdown, err = strconv.ParseFloat(parameters[0], 64); err != nil {
			return 0, 0, trace.Wrap(err)
		}
	}
	if len(parameters) > 1 {
		var err error
		if duration, err = parseDuration(parameters[1], duration); err != nil {
			return 0, 0, err
		}
	}
	return slowdown, duration, nil
}

// startCold begins a cold start with the given slowdown and duration.
func (f *faults) startCold(slowdown float64, duration time.Duration, now time.Time) {
	f.coldSlowdown, f.coldFrom, f.coldTo = slowdown, now, now.Add(duration)
}

// slowdownAt returns the factor by which the faults lengthen work that begins at
// the given time.
func (f *faults) slowdownAt(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	product := 1.0
	if f.slowdown > 0 && (f.slowEnd.IsZero() || now.Before(f.slowEnd)) {
		product *= f.slowdown
	}
	if f.isCold(now) {
		left := float64(f.coldTo.Sub(now)) / float64(f.coldTo.Sub(f.coldFrom))
		product *= 1 + (f.coldSlowdown-1)*left
	}
	return product
}

// isCold reports whether a cold start is in progress. The caller holds the lock.
func (f *faults) isCold(now time.Time) bool { return f.coldSlowdown > 0 && now.Before(f.coldTo) }

// state returns the state that the target reports in Target-State.
func (f *faults) state(now time.Time) state {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.drain && !f.silent:
		return draining
	case f.shed:
		return shedding
	case f.isCold(now):
		return warming
	}
	return ready
}

// reportFaults reports whether responses carry no load report, and returns the
// greatest age of a load report.
func (f *faults) reportFaults() (omit bool, lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.omitLoad, f.reportLag
}

// currentResponseDelay returns the delay of responses of finished work.
func (f *faults) currentResponseDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.responseDelay
}

// truncatesResponses reports whether responses end after half of their body.
func (f *faults) truncatesResponses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.truncate
}

// waitWhileFrozen waits for the end of a freeze. It fails if the context ends first.
func (f *faults) waitWhileFrozen(ctx context.Context) error {
	f.mu.Lock()
	until := f.frozenUntil
	f.mu.Unlock()
	if until.IsZero() {
		return nil
	}
	select {
	case <-time.After(time.Until(until)):
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// applyFaults applies the faults to arriving work. It reports whether it has
// finished the request.
func (w *Worker) applyFaults(c echo.Context) (bool, error) {
	if c.Request().Header.Get("Crash") != "" {
		return true, w.crash(c)
	}
	w.faults.mu.Lock()
	drain, reject, shed, fail := w.faults.drain, w.faults.reject, w.faults.shed, w.faults.fail
	w.faults.mu.Unlock()
	e := newEvent(c)
	if drain {
		e.Type = recorder.Arrive
		if err := w.recordEvent(e); err != nil || reject {
			return true, w.reject(c, draining)
		}
	}
	if shed {
		return true, w.reject(c, shedding)
	}
	if fail {
		return true, w.fail(c, e)
	}
	return false, nil
}

// crash records the start of the execution of the request and ends the process.
func (w *Worker) crash(c echo.Context) error {
	e := newEvent(c)
	e.Type = recorder.Begin
	if err := w.recordEvent(e); err != nil {
		return w.reject(c, shedding)
	}
	w.exit(crashExitCode)
	return listener.CloseConnection(c)
}

// fail responds with status 500 at once. It records an execution of the request,
// since the status does not show a caller that the request had no effect.
func (w *Worker) fail(c echo.Context, e recorder.Event) error {
	e.Type = recorder.Begin
	if err := w.recordEvent(e); err != nil {
		return w.reject(c, shedding)
	}
	e.Type, e.Cause = recorder.End, "failed"
	if err := w.recordEvent(e); err != nil {
		return err
	}
	w.setHeaders(c, w.faults.state(time.Now()))
	return c.NoContent(http.StatusInternalServerError)
}

// namedFaults returns the faults for the routes under /fault/.
func (w *Worker) namedFaults() map[string]listener.Fault {
	faults := map[string]listener.Fault{
		"crash": {On: func(string) error { w.exit(crashExitCode); return nil }, Off: func() {}},
	}
	for name, f := range faultsByName {
		faults[name] = listener.Fault{
			On: func(text string) error {
				w.faults.mu.Lock()
				defer w.faults.mu.Unlock()
				return f.on(&w.faults, strings.Split(text, ","), time.Now())
			},
			Off: func() {
				w.faults.mu.Lock()
				defer w.faults.mu.Unlock()
				f.off(&w.faults)
			},
		}
	}
	return faults
}
