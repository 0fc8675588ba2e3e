package sender

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/scanner"
)

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// countedConn is a connection that decrements the count of its pool when it is
// closed for the first time. It checks the heads of responses, because http.Transport
// accepts lines that it may understand otherwise than they were meant.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once

	mutex sync.Mutex
	// head is that of the response that is being read; nil after a final one.
	head *scanner.Head
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.open.Add(-1) })
	return err
}

// expectResponse makes the connection check what is read from now on.
func (c *countedConn) expectResponse() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.head = &scanner.Head{MaxBytes: maxHeadBytes}
}

// Read implements net.Conn. It fails at the end of a head that is not valid.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if invalid := c.checkHeads(p[:n]); invalid != nil {
		return 0, trace.Wrap(invalid, "the target's response is not valid HTTP")
	}
	return n, err
}

// checkHeads checks the heads of interim responses and of the final one in what is read.
func (c *countedConn) checkHeads(read []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(read) > 0 && c.head != nil {
		taken, complete, err := c.head.Add(read)
		if err != nil {
			return err
		}
		if read = read[taken:]; !complete {
			continue
		}
		if err := scanner.CheckLines(c.head.Bytes()); err != nil {
			return err
		}
		_, status, _ := bytes.Cut(c.head.Bytes(), []byte(" "))
		status = bytes.TrimLeft(status, " ")
		if c.head = nil; bytes.HasPrefix(status, []byte("1")) {
			c.head = &scanner.Head{MaxBytes: maxHeadBytes}
		}
	}
	return nil
}
