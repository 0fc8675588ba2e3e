package acceptor

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/reserver"
	"oriolecourse.example/oriolecourse/internal/connection/streamer"
)

const (
	// acceptRetryDelay is the delay after a failed accept. If the process has run out
	// of file descriptors, other connections may close in that time.
	acceptRetryDelay = 20 * time.Millisecond
	// writeTimeout bounds the writing of one response, or of one piece of a streamed one,
	// to a client that reads slowly.
	writeTimeout = 10 * time.Second
	// streamTimeout bounds the writing of a streamed response. The largest one takes about
	// this long at 10 Mbit/s.
	streamTimeout = time.Minute
	// bodyTimeout bounds each read of a body.
	bodyTimeout = 5 * time.Second
	// lingerTimeout is how long a closing connection is read after the client has received its
	// last response. Closing a connection with unread bytes resets it, and the client may lose
	// what it has not yet read.
	lingerTimeout = 500 * time.Millisecond
	// receiptInterval is the time between two checks whether a client has received its last
	// response.
	receiptInterval = 50 * time.Millisecond
	// lateReadTime is the time for the rest of a request that has begun to arrive when reading
	// ends. A client that needs longer is told that its request has not run.
	lateReadTime = 500 * time.Millisecond
	// maxPipelined is the capacity of a connection's queue of requests that wait for
	// the responses to earlier requests to be written.
	maxPipelined = 32
)

// Limits bound what a client may send and how long it may take.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the sizes of one request.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout bounds the time from the first byte of a header to its last.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection, and that in which a
	// client receives nothing of its last response.
	IdleTimeout time.Duration
}

// Request is one complete request of a client.
type Request struct {
	// Arrived is when the last byte of the request was read.
	Arrived time.Time
	Method  string
	// RequestURI is the path and query as the client sent them.
	RequestURI string
	Host       string
	// Header contains neither Host nor hop-by-hop fields.
	Header http.Header
	Body   []byte
}

// Response is the response to one request.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body, or its first part if Rest is set.
	Body []byte
	// Rest is what follows Body, or nil. The acceptor closes it.
	Rest *streamer.Body
	// Length is the length of the body with its rest, or -1 if it is unknown. It is used
	// only if Rest is set.
	Length int64
}

// Acceptor serves the connections of one listener. Its fields must be set before
// Run is called.
type Acceptor struct {
	// Handle returns the response to one request. It is called concurrently. Its
	// context is canceled when the client closes the connection.
	Handle func(ctx context.Context, q *Request) *Response
	// Limits returns the current limits.
	Limits func() Limits
	// MaxBodyMemory bounds the bytes of all request bodies that are held at once, over
	// all connections.
	MaxBodyMemory int64
	// Memory counts the bodies of requests and responses. While it is full, requests are
	// refused. It may be nil.
	Memory *reserver.Reserver
	// MaxConnections bounds the open connections. Further connections wait in the
	// accept queue of the listener.
	MaxConnections int
	// OnError is called when a request is refused before it is handled, with the
	// client's address and the status of the response, and when accepting a connection
	// fails, with the listener's address and status 0. It may be nil.
	OnError func(remote string, status int, cause error)

	// bodies counts the request bodies, bounded by MaxBodyMemory; it is a part of Memory.
	bodies   *reserver.Reserver
	draining atomic.Bool
	// written counts the bytes that were written to clients.
	written atomic.Uint64
	mutex   sync.Mutex
	conns   map[*conn]struct{}
	// readingEnded means that no further request is read.
	readingEnded bool
	group        sync.WaitGroup
	done         chan struct{}
	stopOnce     sync.Once
}

// Prepare initializes the acceptor. Run and Stop may then be called in any order.
func (a *Acceptor) Prepare() {
	a.conns = map[*conn]struct{}{}
	a.done = make(chan struct{})
	if a.Memory == nil {
		a.Memory = reserver.New(math.MaxInt64, nil)
	}
	a.bodies = reserver.New(a.MaxBodyMemory, a.Memory)
}

// Run accepts connections until the listener is closed.
func (a *Acceptor) Run(l net.Listener) error {
	slots := make(chan struct{}, a.MaxConnections)
	for {
		slots <- struct{}{}
		socket, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			<-slots
			a.reportError(l.Addr().String(), 0, err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(a, socket)
		if !a.add(c) {
			socket.Close()
			<-slots
			continue
		}
		a.group.Go(func() {
			defer func() { <-slots }()
			defer a.remove(c)
			c.serve()
		})
	}
}

// StartDraining makes each connection close after the next response that is not
// followed by a pending request.
func (a *Acceptor) StartDraining() { a.draining.Store(true) }

// StopReading ends the reading of requests. Connections without a pending request close;
// the others close after their last response, which says so, as its client may send what was
// not read elsewhere. A request that has begun to arrive is read to its end, or refused with
// status 408 after lateReadTime. Connections that are accepted later close unread.
func (a *Acceptor) StopReading(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.readingEnded = true
	for c := range a.conns {
		c.stopReading(now.Add(lateReadTime))
	}
}

// PendingRequests returns the number of requests that have begun to arrive and whose
// response is not yet written.
func (a *Acceptor) PendingRequests() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	n := 0
	for c := range a.conns {
		n += c.pendingRequests()
	}
	return n
}

// BytesWritten returns the number of bytes that were written to clients.
func (a *Acceptor) BytesWritten() uint64 { return a.written.Load() }

// OpenConnections returns the number of open connections.
func (a *Acceptor) OpenConnections() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.conns)
}

// Stop closes all connections and waits until their goroutines have returned.
func (a *Acceptor) Stop() {
	a.stopOnce.Do(func() { close(a.done) })
	a.mutex.Lock()
	for c := range a.conns {
		c.socket.Close()
	}
	a.mutex.Unlock()
	a.group.Wait()
}

func (a *Acceptor) add(c *conn) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.readingEnded {
		return false
	}
	select {
	case <-a.done:
		return false
	default:
	}
	a.conns[c] = struct{}{}
	return true
}

func (a *Acceptor) remove(c *conn) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.conns, c)
}

func (a *Acceptor) reportError(remote string, status int, cause error) {
	if a.OnError != nil {
		a.OnError(remote, status, cause)
	}
}
