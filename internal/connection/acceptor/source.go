package acceptor

import (
	"io"
	"math"
	"net"
	"sync/atomic"
	"time"
)

// unlimited lets any number of bytes pass.
const unlimited = math.MaxInt

// source reads a socket up to a number of bytes.
type source struct {
	socket net.Conn
	// left is the number of bytes that may still be read; only the reading
	// goroutine uses it.
	left int
}

// Read implements io.Reader; it ends when the bytes are used up.
func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, io.EOF
	}
	n, err := s.socket.Read(p[:min(len(p), s.left)])
	if s.left != unlimited {
		s.left -= n
	}
	return n, err
}

// patient gives each read of a body a deadline of its own.
type patient struct {
	conn *conn
	body io.Reader
}

// Read implements io.Reader.
func (r *patient) Read(p []byte) (int, error) {
	_ = r.conn.socket.SetReadDeadline(time.Now().Add(bodyTimeout))
	return r.body.Read(p)
}

// charged counts the bytes written to it against the memory of the process.
type charged struct {
	held *atomic.Int64
	most int64
	mine int64
}

// Write implements io.Writer; it fails when the memory is used up.
func (c *charged) Write(p []byte) (int, error) {
	c.mine += int64(len(p))
	if c.held.Add(int64(len(p))) > c.most {
		return 0, errMemory
	}
	return len(p), nil
}

// back gives the bytes back.
func (c *charged) back() { c.held.Add(-c.mine) }
