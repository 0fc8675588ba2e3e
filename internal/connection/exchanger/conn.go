package exchanger

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/connection/sender"
)

// maxResponseBytes bounds the body of a response that is held in memory as a whole.
const maxResponseBytes = 16 << 20

// maxResponses bounds the responses that are read for one request. Interim
// responses and responses to other requests are skipped; when the last one is
// skipped too, the connection is closed.
const maxResponses = 4

// Request is one request to a target.
type Request struct {
	Method string
	// Path is the path and query of the request line.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header field that a response repeats from its request. A
	// response with another value, or with none on a connection that was used before, belongs
	// to another request and is skipped. One without a value on a new connection is that of a
	// server that is no target, unless it says that the request was not executed.
	IDHeader string
	// NotExecuted reports whether a response says that the target did not execute
	// the request.
	NotExecuted func(response *sender.Response) bool
	// NonIdempotent means that the request must not run twice. It is sent only on a
	// connection that is new or received a response within maxNonIdempotentIdle.
	NonIdempotent bool
	// Stream means that the caller takes the rest of a large response from Response.Rest.
	// Responses with a status of 500 or above, and those to requests that were not executed,
	// are read as a whole.
	Stream bool
	// MaxResponseBytes bounds a body that is read as a whole; 0 means maxResponseBytes.
	MaxResponseBytes int64
	// NewConnection means that the request is sent on a new connection.
	NewConnection bool
	// MaxConnections bounds the open connections to the target.
	MaxConnections int
}

// Send sends a request to a target once and reads the response: the complete one, or the
// first part if the request streams. The context applies until the rest is closed. The
// error is nil exactly when the effect is Done or NotExecuted.
func (x *Exchanger) Send(ctx context.Context, target netip.AddrPort, q *Request) (*sender.Response, sender.Effect, error) {
	c, err := x.acquire(ctx, target, q)
	if err != nil {
		return nil, sender.Unsent, err
	}
	stop := context.AfterFunc(ctx, c.abort)
	first := c.unused
	response, effect, err := c.exchange(q)
	if first {
		x.recordContact(ctx, target, err)
	}
	if err == nil && response.Rest != nil {
		response.Rest.(*rest).stop = stop
		return response, effect, nil
	}
	if !stop() || err != nil || !c.reusable {
		c.close()
	} else {
		x.pushIdle(c)
	}
	return response, effect, err
}

// conn is one connection to a target.
type conn struct {
	exchanger *Exchanger
	target    netip.AddrPort
	socket    net.Conn
	reader    *bufio.Reader
	once      sync.Once
	// lastResponse is when the connection last received a response.
	lastResponse time.Time
	// expires is when the connection has been idle for too long to be used.
	expires time.Time
	// reusable means that no bytes of an earlier request or response are outstanding.
	reusable bool
	// unused means that the connection has not carried a request yet.
	unused bool
	// carried holds the requests with an identifier that it has carried.
	carried carried
	// written is closed after the current request has been written, or writing has failed
	// with writeErr.
	written  chan struct{}
	writeErr error
	// watch is that of the current request, or nil.
	watch *watch
}

func newConn(x *Exchanger, target netip.AddrPort, socket net.Conn) *conn {
	return &conn{exchanger: x, target: target, socket: socket, reader: bufio.NewReader(socket), unused: true}
}

func (c *conn) close() {
	c.once.Do(func() {
		c.watch.stop()
		c.socket.Close()
		c.exchanger.release(c.target)
	})
}

// abort makes the current exchange fail. The target sees that the connection is
// closed.
func (c *conn) abort() { c.socket.Close() }

// isUsable reports whether an idle connection is open and has nothing to read.
// Bytes that arrive on an idle connection belong to no request.
func (c *conn) isUsable() bool {
	s, ok := c.socket.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var recvErr error
	err = raw.Read(func(fd uintptr) bool {
		_, _, recvErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(recvErr, syscall.EAGAIN)
}

// exchange writes a request and reads its response.
func (c *conn) exchange(q *Request) (*sender.Response, sender.Effect, error) {
	c.reusable = false
	if id := q.id(); id != "" {
		c.carried.add(id)
	}
	if err := c.write(q.encodeHead(), q.Body); err != nil {
		// The target may have received part of the request, or a short one completely.
		return nil, sender.Lost, trace.Wrap(err)
	}
	response, reusable, err := c.readMatchingResponse(q)
	if err != nil && c.watch.stop() {
		return nil, sender.Lost, errSilent
	}
	if err != nil {
		return nil, sender.Lost, err
	}
	if response.Rest != nil {
		response.Rest.(*rest).reusable = func() bool { return reusable && c.isWritten() }
		return response, sender.Done, nil
	}
	c.reusable = reusable && c.isWritten()
	if q.NotExecuted(response) {
		return response, sender.NotExecuted, nil
	}
	return response, sender.Done, nil
}

// write writes a short request, or starts to write a long one: a target may respond before it
// has read the body.
func (c *conn) write(head, body []byte) error {
	c.written, c.writeErr, c.watch = make(chan struct{}), nil, nil
	if len(head)+len(body) > maxUnwatchedBytes {
		c.watch = startWatch(c.socket, c.isWritten)
	}
	if len(head)+len(body) <= maxSyncWriteBytes {
		defer close(c.written)
		_, c.writeErr = c.socket.Write(append(head, body...))
		return c.writeErr
	}
	go func() {
		defer close(c.written)
		all := net.Buffers{head, body}
		_, c.writeErr = all.WriteTo(c.socket)
	}()
	return nil
}

// isWritten reports whether the whole request has been written. The rest of a body whose
// response has come is not sent: the connection is closed.
func (c *conn) isWritten() bool {
	select {
	case <-c.written:
		return c.writeErr == nil
	default:
		return false
	}
}

// endWrite stops the writing of the request. It returns an error if the connection was lost
// while it was written. The kernel reports a reset once: after the writer has received it, the
// reader finds what seems to be an orderly end. A target that has ended its response and then
// closes the connection leaves a broken pipe.
func (c *conn) endWrite() error {
	_ = c.socket.SetWriteDeadline(time.Unix(1, 0))
	<-c.written
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}

// maxSyncWriteBytes is the size up to which a request is written before its
// response is read. It fits the socket buffers of a connection.
const maxSyncWriteBytes = 16 << 10

// encodeHead returns the head of the request as HTTP/1.1. It computes the Content-Length
// from the body.
func (q *Request) encodeHead() []byte {
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
	return b.Bytes()
}

// readMatchingResponse reads the final response to a request. It skips interim
// responses and responses to other requests. It also reports whether the connection
// can carry another request.
func (c *conn) readMatchingResponse(q *Request) (*sender.Response, bool, error) {
	matched := true
	for range maxResponses {
		parsed, err := c.readHead(q.Method)
		if err != nil {
			return nil, false, err
		}
		if parsed.StatusCode < http.StatusOK {
			continue
		}
		body, length := c.newBody(parsed, q.Method)
		if c.isForeign(q, parsed) {
			return nil, false, trace.BadParameter("the response, with status %d, does not repeat the identifier of the request", parsed.StatusCode)
		}
		if c.isMismatched(q, parsed) {
			if err := skipBody(body, length); err != nil {
				return nil, false, err
			}
			matched = false
			continue
		}
		response, err := c.readMatching(q, parsed, body, length)
		if err != nil {
			return nil, false, err
		}
		if response.Rest != nil {
			return response, matched && !parsed.Close, nil
		}
		if !matched || parsed.Close || c.reader.Buffered() > 0 {
			return response, false, nil
		}
		c.unused = false
		return response, true, nil
	}
	return nil, false, trace.BadParameter("the target sent too many interim responses or responses to other requests")
}

// readMatching reads the body of the response to a request, or its first part.
func (c *conn) readMatching(q *Request, parsed *http.Response, body io.Reader, length int64) (*sender.Response, error) {
	keepAlive := parsed.Header.Get("Keep-Alive")
	acceptor.StripHopByHop(parsed.Header)
	response := &sender.Response{Status: parsed.StatusCode, Header: parsed.Header}
	complete, err := true, error(nil)
	if q.Stream && parsed.StatusCode < http.StatusInternalServerError && !q.NotExecuted(response) {
		response.Body, complete, err = c.readFirst(body, length)
	} else {
		response.Body, err = c.readWhole(body, length, cmp.Or(q.MaxResponseBytes, maxResponseBytes))
	}
	if err != nil {
		return nil, err
	}
	if !complete {
		response.Length = length
		response.Rest = &rest{conn: c, body: body, left: maxStreamBytes - int64(len(response.Body)), keepAlive: keepAlive}
	}
	c.updateExpiry(keepAlive, time.Now())
	return response, nil
}

// isForeign reports whether a response comes from a server that is no target: it does not repeat
// the identifier, and no other request can be the one that it belongs to.
func (c *conn) isForeign(q *Request, parsed *http.Response) bool {
	return c.unused && lacksIdentifier(q, parsed) && !q.NotExecuted(&sender.Response{Status: parsed.StatusCode, Header: parsed.Header})
}

// isMismatched reports whether a response belongs to another request. One that does not
// repeat the identifier may be that to a health check, or a copy of an earlier refusal, if the
// connection has carried another request.
func (c *conn) isMismatched(q *Request, parsed *http.Response) bool {
	if lacksIdentifier(q, parsed) {
		return !c.unused
	}
	return parsed.Header.Get(q.IDHeader) != q.id()
}

// lacksIdentifier reports whether a response does not repeat the identifier of its request.
func lacksIdentifier(q *Request, parsed *http.Response) bool {
	return q.id() != "" && parsed.Header.Get(q.IDHeader) == ""
}

// id returns the identifier of the request, or nothing if it has none.
func (q *Request) id() string { return q.Header.Get(q.IDHeader) }

// updateExpiry sets how long the connection may stay idle, from the Keep-Alive
// header of a response.
func (c *conn) updateExpiry(keepAlive string, now time.Time) {
	c.lastResponse, c.expires = now, now.Add(defaultIdleTimeout)
	for p := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			timeout := time.Duration(min(max(seconds, 0), maxIdleSeconds)) * time.Second
			c.expires = now.Add(max(timeout-idleMargin, timeout/2))
		}
	}
}
