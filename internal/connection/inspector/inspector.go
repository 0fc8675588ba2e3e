package inspector

import (
	"net"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Progress is what the kernel knows of sent data.
type Progress struct {
	// IsOutstanding means that sent bytes or window probes are not acknowledged.
	IsOutstanding bool
	// IsHeld means that bytes wait for the peer's window.
	IsHeld bool
	// Acknowledged is when the peer last acknowledged anything.
	Acknowledged time.Time
}

// ReadProgress returns what the kernel knows at a time. It returns an error if the connection is
// closed or the system does not tell.
func ReadProgress(socket net.Conn, now time.Time) (Progress, error) {
	p := Progress{}
	err := control(socket, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return trace.Wrap(err)
		}
		p.IsOutstanding = info.Unacked > 0 || info.Probes > 0
		p.IsHeld = info.Notsent_bytes > 0
		p.Acknowledged = now.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
		return nil
	})
	return p, err
}

// UnacknowledgedBytes returns the number of bytes that were written to a connection and that its
// peer has not acknowledged. It returns an error if the connection is closed or the system does
// not tell.
func UnacknowledgedBytes(socket net.Conn) (int, error) {
	n := 0
	err := control(socket, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return trace.Wrap(err)
	})
	return n, err
}

// SetRawUserTimeout bounds how long the kernel waits for acknowledgements, or for a closed window to
// open; 0 means no bound.
func SetRawUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	return controlRaw(raw, func(fd int) error {
		return trace.Wrap(unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())))
	})
}

// SetUserTimeout is SetRawUserTimeout for a connection.
func SetUserTimeout(socket net.Conn, timeout time.Duration) error {
	raw, err := rawConn(socket)
	if err != nil {
		return err
	}
	return SetRawUserTimeout(raw, timeout)
}

// control calls a function with the descriptor of a connection.
func control(socket net.Conn, do func(fd int) error) error {
	raw, err := rawConn(socket)
	if err != nil {
		return err
	}
	return controlRaw(raw, do)
}

func controlRaw(raw syscall.RawConn, do func(fd int) error) error {
	var result error
	if err := raw.Control(func(fd uintptr) { result = do(int(fd)) }); err != nil {
		return trace.Wrap(err)
	}
	return result
}

func rawConn(socket net.Conn) (syscall.RawConn, error) {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return nil, trace.BadParameter("a %T has no descriptor", socket)
	}
	raw, err := s.SyscallConn()
	return raw, trace.Wrap(err)
}
