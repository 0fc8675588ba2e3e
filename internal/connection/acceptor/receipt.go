package acceptor

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// receipt follows how much of what was sent to a client it has acknowledged.
type receipt struct {
	// unacknowledged is the number of bytes that the client had not acknowledged at the last
	// check, and since when.
	unacknowledged int
	since          time.Time
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
	for !r.isOver(unacknowledgedBytes(c.socket), time.Now(), c.acceptor.Limits().IdleTimeout) {
		select {
		case <-closed:
			return
		case <-ticker.C:
		}
	}
}

// unacknowledgedBytes returns the number of bytes that were written to a connection and that its
// peer has not acknowledged; 0 if that is unknown, as for a connection that is closed.
func unacknowledgedBytes(socket net.Conn) int {
	t, ok := socket.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := raw.Control(func(fd uintptr) {
		n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	}); err != nil {
		return 0
	}
	if err != nil {
		return 0
	}
	return n
}
