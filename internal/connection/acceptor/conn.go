package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// exchange is one request of a connection and the place of its answer.
type exchange struct {
	method string
	// answer gets exactly one answer.
	answer chan *Response
	// last means that the connection ends after this answer, whatever follows.
	last bool
	// size is the number of body bytes that are given back after the answer.
	size int64
}

// conn is one connection of a client.
type conn struct {
	acceptor *Acceptor
	socket   net.Conn
	reader   *bufio.Reader
	queue    chan *exchange

	mutex sync.Mutex
	// pending counts the requests that are read and not answered.
	pending int
	// reading means that a request has begun to arrive.
	reading bool
	// ending means that no further request is taken.
	ending bool
}

func newConn(a *Acceptor, socket net.Conn) *conn {
	return &conn{acceptor: a, socket: socket, reader: bufio.NewReader(socket), queue: make(chan *exchange, ahead)}
}

// serve reads requests until the client leaves or the connection has to end.
func (c *conn) serve() {
	defer c.socket.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write(cancel)
	}()
	gone := c.read(ctx)
	if gone {
		cancel()
	}
	close(c.queue)
	if gone {
		<-written
		return
	}
	// What a client still sends is dropped, until it has read the last answer.
	left := make(chan struct{})
	go func() {
		defer close(left)
		c.drain(cancel)
	}()
	<-written
	if t, ok := c.socket.(*net.TCPConn); ok {
		// A connection that has ended already needs no end of its writing half.
		_ = t.CloseWrite()
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(linger))
	<-left
}

// drain reads until the client closes; that it leaves cancels what still runs.
func (c *conn) drain(cancel context.CancelFunc) {
	_ = c.socket.SetReadDeadline(time.Time{})
	if _, err := io.Copy(io.Discard, c.socket); !isTimeout(err) {
		cancel()
	}
}

// read takes requests in and reports whether the client has left.
func (c *conn) read(ctx context.Context) bool {
	for {
		if err := c.await(); err != nil {
			return !isTimeout(err) && !c.ended()
		}
		if !c.begin() {
			return false
		}
		last, err := c.take(ctx)
		if err != nil {
			return true
		}
		if last {
			return false
		}
	}
}

// await waits for the first byte of a request.
func (c *conn) await() error {
	c.rest()
	_, err := c.reader.Peek(1)
	return err
}

// take reads one request and starts it. An error means that the client left.
func (c *conn) take(ctx context.Context) (last bool, err error) {
	limits := c.acceptor.Limits()
	q, x, err := c.parse(limits)
	if err == nil {
		x.last = x.last || c.full()
		c.queue <- x
		go func() { x.answer <- c.acceptor.Handle(ctx, q) }()
		return x.last, nil
	}
	var refused *refusal
	if !errors.As(err, &refused) {
		return true, err
	}
	c.acceptor.fail(c.socket.RemoteAddr().String(), refused.status, refused.cause)
	x = &exchange{answer: make(chan *Response, 1), last: true}
	x.answer <- &Response{Status: refused.status}
	c.queue <- x
	return true, nil
}

// parse reads one request whole.
func (c *conn) parse(limits Limits) (*Request, *exchange, error) {
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	head, err := readHead(c.reader, limits.MaxHeaderBytes)
	if err != nil {
		return nil, nil, c.refuseHeader(err)
	}
	h, err := parseHead(head)
	if err != nil {
		return nil, nil, err
	}
	if h.ContentLength > int64(limits.MaxBodyBytes) {
		return nil, nil, &refusal{http.StatusRequestEntityTooLarge, trace.LimitExceeded("a body of %d bytes", h.ContentLength)}
	}
	if h.Header.Get("Expect") != "" && h.ContentLength != 0 {
		if _, err := io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, trace.Wrap(err)
		}
	}
	body, err := c.body(h, limits.MaxBodyBytes)
	if err != nil {
		return nil, nil, err
	}
	x := &exchange{method: h.Method, answer: make(chan *Response, 1), last: h.Close, size: int64(len(body))}
	q := &Request{Arrived: time.Now(), Method: h.Method, RequestURI: target(h), Host: h.Host, Header: h.Header, Body: body}
	StripHopByHop(q.Header)
	// Answered above, when the body was read.
	q.Header.Del("Expect")
	return q, x, nil
}

// target returns path and query; a target in absolute form is cut to these.
func target(h *http.Request) string {
	if len(h.RequestURI) > 0 && h.RequestURI[0] != '/' && h.URL.IsAbs() {
		return h.URL.RequestURI()
	}
	return h.RequestURI
}

// body reads a body within the limits of this request and of the process.
func (c *conn) body(h *http.Request, most int) ([]byte, error) {
	if h.ContentLength == 0 {
		return nil, nil
	}
	b := &charged{held: &c.acceptor.held, most: c.acceptor.MaxBodyMemory}
	body, err := io.ReadAll(io.LimitReader(io.TeeReader(&patient{c, bodyReader(c.reader, h)}, b), int64(most)+1))
	switch {
	case errors.Is(err, errMemory):
		b.back()
		return nil, &refusal{http.StatusServiceUnavailable, err}
	case err != nil:
		b.back()
		return nil, c.refuseHeader(err)
	case len(body) > most:
		b.back()
		return nil, &refusal{http.StatusRequestEntityTooLarge, trace.LimitExceeded("a body of more than %d bytes", most)}
	case h.ContentLength > int64(len(body)):
		b.back()
		return nil, trace.Wrap(io.ErrUnexpectedEOF)
	}
	return body, nil
}

// refuseHeader tells a client that sends what cannot be read from one that left.
func (c *conn) refuseHeader(err error) error {
	var operation *net.OpError
	switch {
	case errors.Is(err, errLongHead):
		return &refusal{http.StatusRequestHeaderFieldsTooLarge, err}
	case isTimeout(err):
		return &refusal{http.StatusRequestTimeout, err}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &operation):
		return trace.Wrap(err)
	}
	return &refusal{http.StatusBadRequest, err}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// refusal is a request that is answered without being handled.
type refusal struct {
	status int
	cause  error
}

// Error implements error.
func (r *refusal) Error() string { return r.cause.Error() }

// rest arms the idle timeout when nothing is under way.
func (c *conn) rest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = false
	c.arm()
}

// arm sets the read deadline of a connection that no request is arriving on.
func (c *conn) arm() {
	switch {
	case c.reading:
	case c.ending:
		_ = c.socket.SetReadDeadline(time.Unix(1, 0))
	case c.pending > 0:
		_ = c.socket.SetReadDeadline(time.Time{})
	default:
		_ = c.socket.SetReadDeadline(time.Now().Add(c.acceptor.Limits().IdleTimeout))
	}
}

// begin counts a request in; it reports false when the connection is ending.
func (c *conn) begin() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ending {
		return false
	}
	c.reading = true
	c.pending++
	return true
}

// full reports whether a connection takes no request behind the one just read.
func (c *conn) full() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.acceptor.leaving.Load() {
		c.ending = true
	}
	return c.ending
}

// ended reports whether this side has decided to end the connection.
func (c *conn) ended() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ending
}

// endIdle ends a connection on which nothing is under way.
func (c *conn) endIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending == 0 {
		c.ending = true
		c.arm()
	}
}

func (c *conn) outstanding() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pending
}

// answered counts a request out. It reports whether the connection ends with it.
func (c *conn) answered(x *exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	last := x.last || c.pending == 1 && !c.reading && (c.ending || c.acceptor.leaving.Load())
	if last {
		c.ending = true
	}
	return last
}

func (c *conn) settle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending--
	c.arm()
}
