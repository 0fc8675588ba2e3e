package publisher

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
)

// defaultFlap is half the period of a flapping platform.
const defaultFlap = time.Second

// faults holds the faults that are on. The zero value has none.
type faults struct {
	mu sync.Mutex
	// down closes every connection without an answer.
	down bool
	// flap is the time between two changes of a flapping platform; 0 is off.
	flap time.Duration
	// since is the time at which flapping began; it begins down.
	since time.Time
	// slow delays every answer.
	slow time.Duration
	// garbage answers with text that is no document.
	garbage bool
	// severed is closed when waiting watches must lose their connections.
	severed chan struct{}
}

// fault switches one named fault on or off; text is the parameter.
type fault struct {
	on  func(p *Publisher, text string) error
	off func(p *Publisher)
}

// table holds the faults by name.
var table = map[string]fault{
	"down": {
		on:  func(p *Publisher, _ string) error { p.faults.sever(func(f *faults) { f.down = true }); return nil },
		off: func(p *Publisher) { p.faults.set(func(f *faults) { f.down = false }) },
	},
	"flap": {
		on: func(p *Publisher, text string) error {
			return withDuration(text, defaultFlap, func(d time.Duration) {
				p.faults.sever(func(f *faults) { f.flap, f.since = d, time.Now() })
			})
		},
		off: func(p *Publisher) { p.faults.set(func(f *faults) { f.flap = 0 }) },
	},
	"slow": {
		on: func(p *Publisher, text string) error {
			return withDuration(text, time.Second, func(d time.Duration) {
				p.faults.set(func(f *faults) { f.slow = d })
			})
		},
		off: func(p *Publisher) { p.faults.set(func(f *faults) { f.slow = 0 }) },
	},
	"garbage": {
		on:  func(p *Publisher, _ string) error { p.faults.set(func(f *faults) { f.garbage = true }); return nil },
		off: func(p *Publisher) { p.faults.set(func(f *faults) { f.garbage = false }) },
	},
	"stale":     {on: pinning((*Publisher).settingsDocument), off: unpinning((*Publisher).settingsDocument)},
	"stalelist": {on: pinning((*Publisher).listDocument), off: unpinning((*Publisher).listDocument)},
}

func (p *Publisher) settingsDocument() *document { return p.settings }

func (p *Publisher) listDocument() *document { return p.list }

// pinning returns the switch that serves an old revision: the named one, or the
// one before the newest.
func pinning(choose func(*Publisher) *document) func(*Publisher, string) error {
	return func(p *Publisher, text string) error {
		d := choose(p)
		if text == "" {
			d.pin(d.previous())
			return nil
		}
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return trace.Wrap(err)
		}
		d.pin(number)
		return nil
	}
}

// unpinning returns the switch that serves the newest revision again.
func unpinning(choose func(*Publisher) *document) func(*Publisher) {
	return func(p *Publisher) { choose(p).pin(0) }
}

// withDuration hands on the parameter or its default.
func withDuration(text string, standard time.Duration, use func(time.Duration)) error {
	if text == "" {
		use(standard)
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return trace.Wrap(err)
	}
	use(d)
	return nil
}

// set changes the faults.
func (f *faults) set(edit func(*faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit(f)
}

// sever changes the faults and cuts the connections of all waiting watches.
func (f *faults) sever(edit func(*faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit(f)
	if f.severed != nil {
		close(f.severed)
		f.severed = nil
	}
}

// cut returns a channel that is closed when watches must be cut.
func (f *faults) cut() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.severed == nil {
		f.severed = make(chan struct{})
	}
	return f.severed
}

// unreachable tells whether the platform is down at the time.
func (f *faults) unreachable(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down || f.flap > 0 && (now.Sub(f.since)/f.flap)%2 == 0
}

// disturb lets the faults act on a call. It reports whether the call is over.
func (f *faults) disturb(c echo.Context, now time.Time) (bool, error) {
	if f.unreachable(now) {
		return true, dropConnection(c)
	}
	f.mu.Lock()
	slow, garbage := f.slow, f.garbage
	f.mu.Unlock()
	select {
	case <-time.After(slow):
	case <-c.Request().Context().Done():
		return true, nil
	}
	if garbage {
		return true, c.Blob(http.StatusOK, "application/yaml", []byte("version: [7, {\x00 \xff garbage"))
	}
	return false, nil
}

// dropConnection closes the caller's connection without an answer.
func dropConnection(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(conn.Close())
}

// putFault switches a fault on; the body is its parameter.
func (p *Publisher) putFault(c echo.Context) error {
	f, found := table[c.Param("name")]
	if !found {
		return echo.NewHTTPError(http.StatusNotFound, "unknown fault")
	}
	text, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := f.on(p, strings.TrimSpace(string(text))); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.NoContent(http.StatusNoContent)
}

// deleteFault switches a fault off.
func (p *Publisher) deleteFault(c echo.Context) error {
	f, found := table[c.Param("name")]
	if !found {
		return echo.NewHTTPError(http.StatusNotFound, "unknown fault")
	}
	f.off(p)
	return c.NoContent(http.StatusNoContent)
}
