package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/reserver"
	"oriolecourse.example/oriolecourse/internal/connection/scanner"
)

// exchange is one request of a connection and its future response.
type exchange struct {
	method string
	// isHTTP10 means that the client does not understand chunked encoding. Its request is
	// the last one of its connection, whose end may be the end of the body.
	isHTTP10 bool
	// response receives exactly one response.
	response chan *Response
	// last means that the connection closes after this response.
	last bool
	// bodyBytes is the memory of the request body, released after the response.
	bodyBytes int64
}

// conn is one connection of a client.
type conn struct {
	acceptor *Acceptor
	socket   net.Conn
	reader   *bufio.Reader
	queue    chan *exchange

	mutex sync.Mutex
	// pending counts the requests whose response is not yet written, including the
	// request that is being read.
	pending int
	// reading means that a request has begun to arrive.
	reading bool
	// closing means that no further request is read.
	closing bool
	// readEnd is when the reading of a request ends that has begun to arrive; zero before
	// StopReading.
	readEnd time.Time
	// discarding means that further input is read to be discarded, which neither the end of a
	// response nor that of reading must stop.
	discarding bool
}

func newConn(a *Acceptor, socket net.Conn) *conn {
	return &conn{acceptor: a, socket: socket, reader: bufio.NewReader(socket), queue: make(chan *exchange, maxPipelined)}
}

// serve reads requests until the client or the acceptor closes the connection.
func (c *conn) serve() {
	defer c.socket.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeResponses(cancel)
	}()
	clientLeft := c.readRequests(ctx)
	if clientLeft {
		cancel()
	}
	close(c.queue)
	if clientLeft {
		<-written
		return
	}
	// Discard further input until the client closes the connection or has received the last
	// response.
	discarded := make(chan struct{})
	go func() {
		defer close(discarded)
		c.discardInput(cancel)
	}()
	<-written
	if t, ok := c.socket.(*net.TCPConn); ok {
		// CloseWrite fails if the connection is already closed, which is fine.
		_ = t.CloseWrite()
	}
	c.awaitReceipt(discarded)
	_ = c.socket.SetReadDeadline(time.Unix(1, 0))
	<-discarded
}

// discardInput reads until the client closes the connection, which cancels the
// pending requests, or until the read deadline expires.
func (c *conn) discardInput(cancel context.CancelFunc) {
	c.mutex.Lock()
	c.discarding = true
	_ = c.socket.SetReadDeadline(time.Time{})
	c.mutex.Unlock()
	if _, err := c.reader.Discard(math.MaxInt); !isTimeout(err) {
		cancel()
	}
}

// readRequests reads and starts requests. It reports whether the client closed the
// connection.
func (c *conn) readRequests(ctx context.Context) bool {
	for {
		if err := c.awaitRequest(); err != nil {
			return !isTimeout(err) && !c.isClosing()
		}
		if !c.beginRequest() {
			return false
		}
		last, err := c.startRequest(ctx)
		if err != nil {
			return true
		}
		if last {
			return false
		}
	}
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() error {
	c.finishReading()
	_, err := c.reader.Peek(1)
	return err
}

// startRequest reads one request and starts its handler. It reports whether this
// is the last request of the connection. An error means that the client closed the
// connection.
func (c *conn) startRequest(ctx context.Context) (last bool, err error) {
	limits := c.acceptor.Limits()
	q, x, err := c.parseRequest(limits)
	if err == nil {
		x.last = x.last || c.isLastRequest()
		c.queue <- x
		go func() {
			response := c.acceptor.Handle(ctx, q)
			c.acceptor.Memory.Force(int64(len(response.Body)))
			x.response <- response
		}()
		return x.last, nil
	}
	var invalid *requestError
	if !errors.As(err, &invalid) {
		return true, err
	}
	c.acceptor.reportError(c.socket.RemoteAddr().String(), invalid.status, invalid.cause)
	x = &exchange{response: make(chan *Response, 1), last: true}
	x.response <- &Response{Status: invalid.status}
	c.queue <- x
	return true, nil
}

// parseRequest reads one complete request.
func (c *conn) parseRequest(limits Limits) (*Request, *exchange, error) {
	c.extendReading(time.Now().Add(limits.HeaderTimeout))
	head, err := readHead(c.reader, limits.MaxHeaderBytes)
	if err != nil {
		return nil, nil, c.classifyReadError(err)
	}
	h, err := parseHead(head)
	if err != nil {
		return nil, nil, err
	}
	if h.ContentLength > int64(limits.MaxBodyBytes) {
		return nil, nil, &requestError{http.StatusRequestEntityTooLarge, trace.LimitExceeded("the request body has %d bytes, more than the limit", h.ContentLength)}
	}
	if h.Header.Get("Expect") != "" && h.ContentLength != 0 {
		if _, err := io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, trace.Wrap(err)
		}
	}
	if c.acceptor.Memory.Full() {
		return nil, nil, &requestError{http.StatusServiceUnavailable, reserver.ErrFull}
	}
	body, reserved, err := c.readBody(h, limits.MaxBodyBytes)
	if err != nil {
		return nil, nil, err
	}
	isHTTP10 := !h.ProtoAtLeast(1, 1)
	x := &exchange{method: h.Method, isHTTP10: isHTTP10, response: make(chan *Response, 1), last: h.Close || isHTTP10, bodyBytes: reserved}
	q := &Request{Arrived: time.Now(), Method: h.Method, RequestURI: requestURI(h), Host: h.Host, Header: h.Header, Body: body}
	StripHopByHop(q.Header)
	// The acceptor itself has sent 100 Continue before it read the body.
	q.Header.Del("Expect")
	return q, x, nil
}

// requestURI returns the path and query of the request line. It removes the scheme
// and host of an absolute URI.
func requestURI(h *http.Request) string {
	if len(h.RequestURI) > 0 && h.RequestURI[0] != '/' && h.URL.IsAbs() {
		return h.URL.RequestURI()
	}
	return h.RequestURI
}

// readBody reads a request body within maxBytes and the memory for all bodies. It also
// returns the memory that it has reserved.
func (c *conn) readBody(h *http.Request, maxBytes int) (body []byte, reserved int64, err error) {
	if h.ContentLength == 0 {
		return nil, 0, nil
	}
	body, reserved, err = c.acceptor.bodies.ReadBody(&deadlineReader{c, bodyReader(c.reader, h)}, h.ContentLength, int64(maxBytes), 0)
	switch {
	case errors.Is(err, reserver.ErrFull):
		return nil, 0, &requestError{http.StatusServiceUnavailable, err}
	case errors.Is(err, reserver.ErrTooLarge):
		return nil, 0, &requestError{http.StatusRequestEntityTooLarge, err}
	case err != nil:
		return nil, 0, c.classifyReadError(err)
	}
	return body, reserved, nil
}

// classifyReadError returns a requestError if the client sent an invalid, too long
// or too slow request, and another error if the client closed the connection.
func (c *conn) classifyReadError(err error) error {
	var opErr *net.OpError
	switch {
	case errors.Is(err, scanner.ErrTooLong):
		return &requestError{http.StatusRequestHeaderFieldsTooLarge, err}
	case isTimeout(err):
		return &requestError{http.StatusRequestTimeout, err}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &opErr):
		return trace.Wrap(err)
	}
	return &requestError{http.StatusBadRequest, err}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// requestError is the error of a request that is answered with a status without
// being handled.
type requestError struct {
	status int
	cause  error
}

// Error implements error.
func (r *requestError) Error() string { return r.cause.Error() }

// finishReading records that no request is arriving. The idle timeout starts if no
// request is pending.
func (c *conn) finishReading() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = false
	c.setReadDeadline()
}

// setReadDeadline sets the read deadline of a connection on which no request is
// arriving: in the past if it is closing, none while requests are pending, and
// otherwise the idle timeout.
func (c *conn) setReadDeadline() {
	switch {
	case c.reading, c.discarding:
	case c.closing:
		_ = c.socket.SetReadDeadline(time.Unix(1, 0))
	case c.pending > 0:
		_ = c.socket.SetReadDeadline(time.Time{})
	default:
		_ = c.socket.SetReadDeadline(time.Now().Add(c.acceptor.Limits().IdleTimeout))
	}
}

// beginRequest counts a request as pending. It reports false if the connection is
// closing.
func (c *conn) beginRequest() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		return false
	}
	c.reading = true
	c.pending++
	return true
}

// isLastRequest reports whether no request is read after the current one. If the
// acceptor is draining, the connection starts to close.
func (c *conn) isLastRequest() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.acceptor.draining.Load() {
		c.closing = true
	}
	return c.closing
}

// isClosing reports whether the acceptor has decided to close the connection.
func (c *conn) isClosing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closing
}

// stopReading lets the connection close after the requests that have begun to arrive. One that
// is arriving has time until end.
func (c *conn) stopReading(end time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closing, c.readEnd = true, end
	if c.reading && !c.discarding {
		_ = c.socket.SetReadDeadline(end)
	}
	c.setReadDeadline()
}

// extendReading gives the client until the deadline to send more of its request, but not
// beyond readEnd.
func (c *conn) extendReading(deadline time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.readEnd.IsZero() && c.readEnd.Before(deadline) {
		deadline = c.readEnd
	}
	_ = c.socket.SetReadDeadline(deadline)
}

func (c *conn) pendingRequests() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pending
}

// isLastResponse reports whether the connection closes after the response of x. In
// that case the connection starts to close.
func (c *conn) isLastResponse(x *exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	last := x.last || c.pending == 1 && !c.reading && (c.closing || c.acceptor.draining.Load())
	if last {
		c.closing = true
	}
	return last
}

// finishRequest counts a request as no longer pending after its response.
func (c *conn) finishRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending--
	c.setReadDeadline()
}
