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

// The standard parameters of the faults.
const (
	// defaultSlow is the factor of a slow target.
	defaultSlow = 6
	// defaultCold is the factor at the beginning of a cold start.
	defaultCold = 5
	// defaultRamp is the length of a cold start.
	defaultRamp = 5 * time.Second
	// defaultLag is the age that load reports may reach.
	defaultLag = time.Second
	// defaultLate is the delay of late answers.
	defaultLate = time.Second
	// defaultFreeze is the length of a freeze.
	defaultFreeze = time.Second
)

// crashCode is the exit code of a crashed target.
const crashCode = 3

// faults holds the faults that are on. The zero value has none.
type faults struct {
	mu sync.Mutex
	// slow multiplies service times until slowEnd; a zero slowEnd is no end.
	slow    float64
	slowEnd time.Time
	// cold multiplies service times at coldStart, less and less until coldEnd.
	cold             float64
	coldFrom, coldTo time.Time
	// drain announces leaving, refuse also refuses new work meanwhile, silent
	// leaves without telling anybody.
	drain, refuse, silent bool
	// shed refuses work, fail answers it with an error at once.
	shed, fail bool
	// mute leaves the load report out, lag makes it old.
	mute bool
	lag  time.Duration
	// half is set when answers break off.
	half bool
	// late delays answers of finished work.
	late time.Duration
	// frozenUntil is the end of a freeze.
	frozenUntil time.Time
}

// fault switches one named fault on or off.
type fault struct {
	// on reads the parameters, which are separated by commas.
	on  func(f *faults, parameters []string, now time.Time) error
	off func(f *faults)
}

// table holds the faults by name; crash is no state and stands apart.
var table = map[string]fault{
	"slow": {
		on: func(f *faults, p []string, now time.Time) error {
			factor, length, err := factorAndLength(p, defaultSlow, 0)
			if err != nil {
				return err
			}
			f.slow, f.slowEnd = factor, time.Time{}
			if length > 0 {
				f.slowEnd = now.Add(length)
			}
			return nil
		},
		off: func(f *faults) { f.slow = 0 },
	},
	"coldstart": {
		on: func(f *faults, p []string, now time.Time) error {
			factor, length, err := factorAndLength(p, defaultCold, defaultRamp)
			if err != nil {
				return err
			}
			f.cold, f.coldFrom, f.coldTo = factor, now, now.Add(length)
			return nil
		},
		off: func(f *faults) { f.cold = 0 },
	},
	"drain": {
		on: func(f *faults, p []string, _ time.Time) error {
			f.drain, f.refuse, f.silent = true, p[0] == "refuse", p[0] == "silent"
			return nil
		},
		off: func(f *faults) { f.drain, f.refuse, f.silent = false, false, false },
	},
	"shed":       flag(func(f *faults) *bool { return &f.shed }),
	"failfast":   flag(func(f *faults) *bool { return &f.fail }),
	"mute":       flag(func(f *faults) *bool { return &f.mute }),
	"halfanswer": flag(func(f *faults) *bool { return &f.half }),
	"lag":        length(defaultLag, func(f *faults) *time.Duration { return &f.lag }),
	"lateanswer": length(defaultLate, func(f *faults) *time.Duration { return &f.late }),
	"freeze": {
		on: func(f *faults, p []string, now time.Time) error {
			d, err := parseLength(p[0], defaultFreeze)
			f.frozenUntil = now.Add(d)
			return err
		},
		off: func(f *faults) { f.frozenUntil = time.Time{} },
	},
}

// flag returns a fault that is only on or off.
func flag(field func(*faults) *bool) fault {
	return fault{
		on:  func(f *faults, _ []string, _ time.Time) error { *field(f) = true; return nil },
		off: func(f *faults) { *field(f) = false },
	}
}

// length returns a fault with one duration.
func length(standard time.Duration, field func(*faults) *time.Duration) fault {
	return fault{
		on: func(f *faults, p []string, _ time.Time) error {
			d, err := parseLength(p[0], standard)
			*field(f) = d
			return err
		},
		off: func(f *faults) { *field(f) = 0 },
	}
}

// parseLength reads a duration or takes the standard one.
func parseLength(text string, standard time.Duration) (time.Duration, error) {
	if text == "" {
		return standard, nil
	}
	d, err := time.ParseDuration(text)
	return d, trace.Wrap(err)
}

// factorAndLength reads "6" or "6,50ms".
func factorAndLength(p []string, factor float64, length time.Duration) (float64, time.Duration, error) {
	if p[0] != "" {
		var err error
		if factor, err = strconv.ParseFloat(p[0], 64); err != nil {
			return 0, 0, trace.Wrap(err)
		}
	}
	if len(p) > 1 {
		var err error
		if length, err = parseLength(p[1], length); err != nil {
			return 0, 0, err
		}
	}
	return factor, length, nil
}

// coldStart begins a cold start.
func (f *faults) coldStart(factor float64, length time.Duration, now time.Time) {
	f.cold, f.coldFrom, f.coldTo = factor, now, now.Add(length)
}

// factor returns how many times longer work takes that begins now.
func (f *faults) factor(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	product := 1.0
	if f.slow > 0 && (f.slowEnd.IsZero() || now.Before(f.slowEnd)) {
		product *= f.slow
	}
	if f.isCold(now) {
		left := float64(f.coldTo.Sub(now)) / float64(f.coldTo.Sub(f.coldFrom))
		product *= 1 + (f.cold-1)*left
	}
	return product
}

// isCold tells whether a cold start goes on. The lock is held.
func (f *faults) isCold(now time.Time) bool { return f.cold > 0 && now.Before(f.coldTo) }

// state returns the state that the target announces.
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

// reporting returns whether load reports are left out, and how old they may be.
func (f *faults) reporting() (mute bool, lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mute, f.lag
}

// lateness returns the delay of answers.
func (f *faults) lateness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.late
}

// breaksOff tells whether answers break off.
func (f *faults) breaksOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.half
}

// thawed waits for the end of a freeze.
func (f *faults) thawed(ctx context.Context) error {
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

// disturb lets the faults act on arriving work. It reports whether the request
// is over.
func (w *Worker) disturb(c echo.Context) (bool, error) {
	if c.Request().Header.Get("Crash") != "" {
		return true, w.crash(c)
	}
	w.faults.mu.Lock()
	drain, refuse, shed, fail := w.faults.drain, w.faults.refuse, w.faults.shed, w.faults.fail
	w.faults.mu.Unlock()
	e := event(c)
	if drain {
		e.Type = recorder.Arrive
		if err := w.record(e); err != nil || refuse {
			return true, w.refuse(c, draining)
		}
	}
	if shed {
		return true, w.refuse(c, shedding)
	}
	if fail {
		return true, w.fail(c, e)
	}
	return false, nil
}

// crash records the run and ends the process.
func (w *Worker) crash(c echo.Context) error {
	e := event(c)
	e.Type = recorder.Begin
	if err := w.record(e); err != nil {
		return w.refuse(c, shedding)
	}
	w.exit(crashCode)
	return listener.CloseConnection(c)
}

// fail answers with an error at once. The run is recorded, since a caller
// cannot know that nothing took effect.
func (w *Worker) fail(c echo.Context, e recorder.Event) error {
	e.Type = recorder.Begin
	if err := w.record(e); err != nil {
		return w.refuse(c, shedding)
	}
	e.Type, e.Cause = recorder.End, "failed"
	if err := w.record(e); err != nil {
		return err
	}
	w.describe(c, w.faults.state(time.Now()))
	return c.NoContent(http.StatusInternalServerError)
}

// named returns the faults by name.
func (w *Worker) named() map[string]listener.Fault {
	faults := map[string]listener.Fault{
		"crash": {On: func(string) error { w.exit(crashCode); return nil }, Off: func() {}},
	}
	for name, f := range table {
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
