package acceptor

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/inspector"
)

// receipt follows how much of what was sent to a client it has acknowledged.
type receipt struct {
	// unacknowledged is the number of bytes that the client had not acknowledged at the last
	// check.
	unacknowledged int
	// since is the first check at which it was that number.
	since time.Time
}

// isOver records the unacknowledged bytes at a time, and reports whether a closing connection
// need not be kept open any longer: for lingerTimeout the client has had everything, or for
// idleTimeout it has taken nothing.
func (r *receipt) isOver(unacknowledged int, now time.Time, idleTimeout time.Duration) bool {
	if unacknowledged != r.unacknowledged || r.since.IsZero() {
		r.unacknowledged, r.since = unacknowledged, now
	}
	if unacknowledged == 0 {
		return now.Sub(r.since) >= lingerTimeout
	}
	return now.Sub(r.since) >= idleTimeout
}

// awaitReceipt waits until the connection is closed or its receipt is over (RFC 9112, 9.6).
func (c *conn) awaitReceipt(closed <-chan struct{}) {
	r, ticker := receipt{}, time.NewTicker(receiptInterval)
	defer ticker.Stop()
	for {
		unacknowledged, err := inspector.UnacknowledgedBytes(c.socket)
		if err != nil {
			// The system does not tell, so the client has the time of one that has everything.
			unacknowledged = 0
		}
		if r.isOver(unacknowledged, time.Now(), c.acceptor.Limits().IdleTimeout) {
			return
		}
		select {
		case <-closed:
			return
		case <-ticker.C:
		}
	}
}
