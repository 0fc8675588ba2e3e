package checker

import (
	"bytes"
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/scanner"
)

// Conn is a connection of an http.Transport. A Read fails at the end of a head that
// scanner.CheckLines rejects, and within one that exceeds scanner.MaxResponseHeadBytes.
type Conn struct {
	net.Conn

	mutex sync.Mutex
	// head is that of the response that is being read; nil after a final one.
	head *scanner.Head
}

// New returns a connection that checks the heads of the responses on c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dial returns a function for http.Transport.DialContext that opens connections with d.
func Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		return New(c), nil
	}
}

// Trace returns a context for a request that is sent on a connection of Dial. Without it the
// response is not checked.
func Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { i.Conn.(*Conn).ExpectResponse() },
	})
}

// ExpectResponse makes the connection check what is read from now on, up to the end of the
// head of a final response.
func (c *Conn) ExpectResponse() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.head = &scanner.Head{MaxBytes: scanner.MaxResponseHeadBytes}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if invalid := c.checkHeads(p[:n]); invalid != nil {
		return 0, trace.Wrap(invalid, "the response is not valid HTTP")
	}
	return n, err
}

// checkHeads checks the heads of interim responses and of the final one in what is read.
func (c *Conn) checkHeads(read []byte) error {
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
		isInterim := bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
		if c.head = nil; isInterim {
			c.head = &scanner.Head{MaxBytes: scanner.MaxResponseHeadBytes}
		}
	}
	return nil
}
