package exchanger

import (
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/inspector"
)

const (
	// maxUnwatchedBytes is the size up to which a request is not watched: it fits the window
	// that a connection has before it carries the request.
	maxUnwatchedBytes = 1 << 10
	// watchDelay is the time to the first check of a request, watchInterval that between two.
	// Both together are less than tcpUserTimeout.
	watchDelay    = 500 * time.Millisecond
	watchInterval = 250 * time.Millisecond
)

// errSilent is the error of an exchange whose target has acknowledged nothing for
// tcpUserTimeout.
var errSilent = trace.ConnectionProblem(nil, "the target acknowledges nothing")

// verdict is the result of a check of a request on its way.
type verdict int

const (
	// waiting means that nothing is to be done until the next check.
	waiting verdict = iota
	// paused means that the target acknowledges everything and reads nothing.
	paused
	// received means that the target has acknowledged the whole request.
	received
	// silent means that the target acknowledges nothing.
	silent
)

// watch tells a target that pauses in reading a request from one that is dead. The kernel does
// not: TCP_USER_TIMEOUT ends connections for both. So it is lifted while a target pauses, and the
// watch itself ends the connection if the target falls silent.
type watch struct {
	socket net.Conn
	// isWritten reports whether the whole request was given to the kernel.
	isWritten func() bool

	mutex sync.Mutex
	timer *time.Timer
	// isLifted means that TCP_USER_TIMEOUT is lifted.
	isLifted bool
	// silentSince is the first check since the last acknowledgement at which bytes or probes
	// were outstanding; zero if there was none.
	silentSince time.Time
	// isSilent means that the watch has ended the connection.
	isSilent bool
	stopped  bool
}

// startWatch watches a request that is about to be sent.
func startWatch(socket net.Conn, isWritten func() bool) *watch {
	w := &watch{socket: socket, isWritten: isWritten}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = time.AfterFunc(watchDelay, func() { w.check(time.Now()) })
	return w
}

// stop ends the watch and restores TCP_USER_TIMEOUT. It reports whether the watch has ended the
// connection.
func (w *watch) stop() (isSilent bool) {
	if w == nil {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.end()
	return w.isSilent
}

// end ends the watch. The caller holds the mutex.
func (w *watch) end() {
	w.stopped = true
	w.timer.Stop()
	if w.isLifted {
		w.isLifted = false
		// It fails only on a closed connection.
		_ = inspector.SetUserTimeout(w.socket, tcpUserTimeout)
	}
}

// check looks at the request once and plans the next check.
func (w *watch) check(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	p, err := inspector.ReadProgress(w.socket, now)
	if err != nil {
		// The connection is closed, or the system does not tell: the kernel's bound stays.
		w.end()
		return
	}
	switch w.judge(p, w.isWritten(), now) {
	case received:
		w.end()
		return
	case silent:
		w.isSilent = true
		w.end()
		w.socket.Close()
		return
	case paused:
		if !w.isLifted {
			w.isLifted = inspector.SetUserTimeout(w.socket, 0) == nil
		}
	case waiting:
	}
	w.timer.Reset(watchInterval)
}

// judge returns the verdict on a request on its way.
func (w *watch) judge(p inspector.Progress, isWritten bool, now time.Time) verdict {
	if !p.IsOutstanding {
		w.silentSince = time.Time{}
		if p.IsHeld {
			return paused
		}
		if isWritten {
			return received
		}
		return waiting
	}
	if w.silentSince.IsZero() || p.Acknowledged.After(w.silentSince) {
		w.silentSince = now
	}
	// While the kernel's bound is in force, it is for the kernel to end the connection.
	if w.isLifted && now.Sub(w.silentSince) >= tcpUserTimeout {
		return silent
	}
	return waiting
}
