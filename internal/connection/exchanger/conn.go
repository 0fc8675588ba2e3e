package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/connection/sender"
)

// maxAnswer is the largest body of an answer in bytes; an answer is held whole.
const maxAnswer = 16 << 20

// strays is the number of answers to other requests that are skipped on one
// connection before it is given up.
const strays = 4

// Request is one request to a target.
type Request struct {
	Method string
	// Path is the request target: path and query.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header field that an answer repeats from its request. An
	// answer with another value belongs to another request and is skipped.
	IDHeader string
	// NotExecuted reports whether an answer says that the target did not run the
	// request.
	NotExecuted func(a *sender.Response) bool
	// NonIdempotent requests must not run twice: they leave only on a connection that is
	// new or was seen alive a moment ago.
	NonIdempotent bool
	// MaxConnections bounds the connections to the target.
	MaxConnections int
}

// Send sends a request to a target once and reads the whole answer. The error is
// nil exactly when the effect is Done or Disowned.
func (x *Exchanger) Send(ctx context.Context, target netip.AddrPort, q *Request) (*sender.Response, sender.Effect, error) {
	c, err := x.acquire(ctx, target, q.MaxConnections, q.NonIdempotent)
	if err != nil {
		return nil, sender.Unsent, err
	}
	stop := context.AfterFunc(ctx, c.abort)
	a, effect, err := c.exchange(q)
	if !stop() || err != nil || !c.reusable {
		c.close()
	} else {
		x.put(c)
	}
	return a, effect, err
}

// conn is one connection to a target.
type conn struct {
	exchanger *Exchanger
	target    netip.AddrPort
	socket    net.Conn
	reader    *bufio.Reader
	once      sync.Once
	// seen is when the target last answered on the connection.
	seen time.Time
	// until is when the connection is too old to be used.
	until time.Time
	// reusable means that nothing of an earlier request is left on the connection.
	reusable bool
	// fresh connections have not carried a request.
	fresh bool
}

func newConn(x *Exchanger, target netip.AddrPort, socket net.Conn) *conn {
	return &conn{exchanger: x, target: target, socket: socket, reader: bufio.NewReader(socket), fresh: true}
}

func (c *conn) close() {
	c.once.Do(func() {
		c.socket.Close()
		c.exchanger.release(c.target)
	})
}

// abort makes the exchange under way fail; the target sees the connection end.
func (c *conn) abort() { c.socket.Close() }

// quiet reports whether an idle connection is open and has nothing to read.
// Bytes that arrive while no request is under way answer none.
func (c *conn) quiet() bool {
	s, ok := c.socket.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var result error
	err = raw.Read(func(fd uintptr) bool {
		_, _, result = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(result, syscall.EAGAIN)
}

// exchange writes a request and reads its answer.
func (c *conn) exchange(q *Request) (*sender.Response, sender.Effect, error) {
	c.reusable = false
	written := make(chan error, 1)
	text := q.encode()
	if len(text) <= atOnce {
		_, err := c.socket.Write(text)
		written <- err
		if err != nil {
			// A part of it may have arrived, and the whole of a short one.
			return nil, sender.Lost, trace.Wrap(err)
		}
	} else {
		// A target may answer before it has read a long body.
		go func() {
			_, err := c.socket.Write(text)
			written <- err
		}()
	}
	a, clean, err := c.answer(q)
	if err != nil {
		return nil, sender.Lost, err
	}
	select {
	case err := <-written:
		c.reusable = clean && err == nil
	default:
		// The rest of the body is not sent: the connection ends.
	}
	if q.NotExecuted(a) {
		return a, sender.NotExecuted, nil
	}
	return a, sender.Done, nil
}

// atOnce is the size in bytes up to which a request is written before its answer
// is read; it fits the buffers of a connection.
const atOnce = 16 << 10

// encode writes a request with a length of its own.
func (q *Request) encode() []byte {
	b := &bytes.Buffer{}
	b.WriteString(q.Method + " " + q.Path + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	for name, values := range q.Header {
		if name == "Content-Length" || name == "Host" {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	return b.Bytes()
}

// answer reads the answer to a request and skips those to earlier ones. It
// reports whether the connection can carry a further request.
func (c *conn) answer(q *Request) (*sender.Response, bool, error) {
	clean := true
	for range strays {
		h, a, err := c.read(q)
		if err != nil {
			return nil, false, err
		}
		if h.StatusCode < http.StatusOK {
			continue
		}
		if c.foreign(q, a) {
			clean = false
			continue
		}
		if !clean || h.Close || c.reader.Buffered() > 0 {
			return a, false, nil
		}
		c.fresh = false
		return a, true, nil
	}
	return nil, false, trace.BadParameter("the target sent only answers to other requests")
}

// foreign reports whether an answer belongs to another request. One that does not
// repeat the id can only be trusted on a connection that had no other request.
func (c *conn) foreign(q *Request, a *sender.Response) bool {
	got, sent := a.Header.Get(q.IDHeader), q.Header.Get(q.IDHeader)
	if got == "" && sent != "" {
		return !c.fresh && q.NonIdempotent
	}
	return got != sent
}

// read reads one answer whole.
func (c *conn) read(q *Request) (*http.Response, *sender.Response, error) {
	h, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
	if err != nil {
		return nil, nil, trace.Wrap(err, "the target's answer cannot be read")
	}
	defer h.Body.Close()
	body, err := io.ReadAll(io.LimitReader(h.Body, maxAnswer+1))
	if err != nil {
		return nil, nil, trace.Wrap(err, "the target's answer broke off")
	}
	if len(body) > maxAnswer {
		return nil, nil, trace.LimitExceeded("the target's answer has more than %d bytes", maxAnswer)
	}
	c.keep(h.Header, time.Now())
	acceptor.StripHopByHop(h.Header)
	return h, &sender.Response{Status: h.StatusCode, Header: h.Header, Body: body}, nil
}

// keep sets how long the connection may stay idle.
func (c *conn) keep(h http.Header, now time.Time) {
	c.seen, c.until = now, now.Add(idleDefault)
	for p := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			timeout := time.Duration(seconds) * time.Second
			c.until = now.Add(max(timeout-idleMargin, timeout/2))
		}
	}
}
