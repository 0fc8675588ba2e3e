package publisher

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"oriolecourse.example/oriolecourse/internal/standin/listener"
)

// defaultFlap is half the period of a flapping platform.
const defaultFlap = time.Second

// defaultSlow is the delay of a slow platform.
const defaultSlow = time.Second

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

// named returns the faults by name.
func (p *Publisher) named() map[string]listener.Fault {
	f := &p.faults
	return map[string]listener.Fault{
		"down": {
			On:  func(string) error { f.sever(func() { f.down = true }); return nil },
			Off: func() { f.set(func() { f.down = false }) },
		},
		"flap": {
			On: withDuration(defaultFlap, func(d time.Duration) {
				f.sever(func() { f.flap, f.since = d, time.Now() })
			}),
			Off: func() { f.set(func() { f.flap = 0 }) },
		},
		"slow": {
			On:  withDuration(defaultSlow, func(d time.Duration) { f.set(func() { f.slow = d }) }),
			Off: func() { f.set(func() { f.slow = 0 }) },
		},
		"garbage": {
			On:  func(string) error { f.set(func() { f.garbage = true }); return nil },
			Off: func() { f.set(func() { f.garbage = false }) },
		},
		"stale":     stale(p.settings),
		"stalelist": stale(p.list),
	}
}

// stale returns the fault that serves an old revision of a document: the named
// one, or the one before the newest.
func stale(d *document) listener.Fault {
	return listener.Fault{
		On: func(text string) error {
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
		},
		Off: func() { d.pin(0) },
	}
}

// withDuration hands on the parameter or its default.
func withDuration(standard time.Duration, use func(time.Duration)) func(string) error {
	return func(text string) error {
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
}

// set changes the faults.
func (f *faults) set(edit func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit()
}

// sever changes the faults and cuts the connections of all waiting watches.
func (f *faults) sever(edit func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit()
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
		return true, listener.CloseConnection(c)
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
