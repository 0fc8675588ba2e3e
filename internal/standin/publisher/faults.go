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

// defaultFlapInterval is the time between two changes of a flapping platform, half
// of its period.
const defaultFlapInterval = time.Second

// defaultDelay is the response delay of a slow platform.
const defaultDelay = time.Second

// faults holds the state of the faults that are on. The zero value has none.
type faults struct {
	mu sync.Mutex
	// down closes every connection without a response.
	down bool
	// flapInterval is the time between two changes of a flapping platform; 0 means
	// that it does not flap.
	flapInterval time.Duration
	// flapStart is the time at which flapping began, with the platform down.
	flapStart time.Time
	// delay delays every response.
	delay time.Duration
	// garbage sends text that is no document.
	garbage bool
	// disconnected is closed to disconnect the waiting watches.
	disconnected chan struct{}
}

// namedFaults returns the faults for the routes under /fault/.
func (p *Publisher) namedFaults() map[string]listener.Fault {
	f := &p.faults
	return map[string]listener.Fault{
		"down": {
			On:  func(string) error { f.updateAndDisconnect(func() { f.down = true }); return nil },
			Off: func() { f.update(func() { f.down = false }) },
		},
		"flap": {
			On: withDuration(defaultFlapInterval, func(d time.Duration) {
				f.updateAndDisconnect(func() { f.flapInterval, f.flapStart = d, time.Now() })
			}),
			Off: func() { f.update(func() { f.flapInterval = 0 }) },
		},
		"slow": {
			On:  withDuration(defaultDelay, func(d time.Duration) { f.update(func() { f.delay = d }) }),
			Off: func() { f.update(func() { f.delay = 0 }) },
		},
		"garbage": {
			On:  func(string) error { f.update(func() { f.garbage = true }); return nil },
			Off: func() { f.update(func() { f.garbage = false }) },
		},
		"stale":     staleFault(p.settings),
		"stalelist": staleFault(p.list),
	}
}

// staleFault returns the fault that serves an old revision of a document. Its
// parameter is the number of the revision; the default is the second newest one.
// Without a second revision the default has no effect.
func staleFault(d *document) listener.Fault {
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

// withDuration returns a function that parses a duration and calls use with it. An
// empty text yields the default.
func withDuration(defaultValue time.Duration, use func(time.Duration)) func(string) error {
	return func(text string) error {
		if text == "" {
			use(defaultValue)
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

// update calls edit with the lock held.
func (f *faults) update(edit func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit()
}

// updateAndDisconnect calls edit with the lock held and disconnects all waiting
// watches.
func (f *faults) updateAndDisconnect(edit func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit()
	if f.disconnected != nil {
		close(f.disconnected)
		f.disconnected = nil
	}
}

// disconnectSignal returns a channel that is closed when watches must be
// disconnected.
func (f *faults) disconnectSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disconnected == nil {
		f.disconnected = make(chan struct{})
	}
	return f.disconnected
}

// unreachable reports whether the platform is down at the given time.
func (f *faults) unreachable(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down || f.flapInterval > 0 && (now.Sub(f.flapStart)/f.flapInterval)%2 == 0
}

// applyFaults applies the faults to a call. It reports whether it has finished the
// call.
func (f *faults) applyFaults(c echo.Context, now time.Time) (bool, error) {
	if f.unreachable(now) {
		return true, listener.CloseConnection(c)
	}
	f.mu.Lock()
	delay, garbage := f.delay, f.garbage
	f.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-c.Request().Context().Done():
		return true, nil
	}
	if garbage {
		return true, c.Blob(http.StatusOK, "application/yaml", []byte("version: [7, {\x00 \xff garbage"))
	}
	return false, nil
}
