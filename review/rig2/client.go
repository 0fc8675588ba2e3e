package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"
)

// result is what a client has got for one attempt.
type result struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
	// read means that the connection was open when the whole request had been sent.
	sent time.Time
	took time.Duration
}

// text describes a result in the record.
func (r *result) text() string {
	if r.err != nil {
		return fmt.Sprintf("no answer: %v", r.err)
	}
	return fmt.Sprintf("%d %s, %d bytes", r.status, http.StatusText(r.status), len(r.body))
}

// clientConn is a kept connection of a client.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	front  netip.AddrPort
}

func dialFront(front netip.AddrPort) (*clientConn, error) { return dialWith(front, nil) }

// dialSlowly is dialFront for a client with a small window.
func dialSlowly(front netip.AddrPort) (*clientConn, error) {
	return dialWith(front, func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
		})
	})
}

// smallWindow is the receive buffer of a client that reads slowly, in bytes.
const smallWindow = 8 << 10

func dialWith(front netip.AddrPort, control func(_, _ string, raw syscall.RawConn) error) (*clientConn, error) {
	d := net.Dialer{Timeout: time.Second, Control: control}
	c, err := d.Dial("tcp4", front.String())
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c), front: front}, nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// requestHead returns the head of a request.
func requestHead(method, path, host, id string, deadline time.Duration, length int, extra string) string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s", method, path, host, id, deadline.Milliseconds(), extra)
	if length > 0 || method == http.MethodPost {
		fmt.Fprintf(b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	return b.String()
}

// readAnswer reads one answer.
func (c *clientConn) readAnswer(id, method string, deadline time.Time) result {
	r := result{id: id}
	_ = c.SetReadDeadline(deadline)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.header = response.StatusCode, response.Header
	r.body, r.err = io.ReadAll(response.Body)
	return r
}

// exchange sends one request and reads its answer. The client waits a little longer than its
// deadline.
func (c *clientConn) exchange(method, path, host, id string, deadline time.Duration, body []byte) result {
	start := time.Now()
	_ = c.SetWriteDeadline(start.Add(deadline))
	_, err := c.Write(append([]byte(requestHead(method, path, host, id, deadline, len(body), "")), body...))
	if err != nil {
		return result{id: id, err: err, sent: start}
	}
	r := c.readAnswer(id, method, start.Add(deadline+time.Second))
	r.sent, r.took = start, time.Since(start)
	return r
}
