package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	// acceptPause is the wait after a failed accept, such as one without a
	// descriptor left: other connections may end meanwhile.
	acceptPause = 20 * time.Millisecond
	// writeTimeout bounds the writing of one answer to a client that reads slowly.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the time between two reads of a body.
	bodyTimeout = 5 * time.Second
	// linger is how long a closing connection is read after its last answer, since
	// closing it with unread bytes resets it and may lose the answer.
	linger = 500 * time.Millisecond
	// ahead bounds the requests of one connection that are read and not answered.
	ahead = 32
)

// Limits bound what a client may send and how long it may take.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are in bytes.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout bounds the time from the first byte of a header to its last.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration
}

// Request is one request of a client, read whole.
type Request struct {
	// Arrived is when the request had been read.
	Arrived time.Time
	Method  string
	// RequestURI is the request target as the client sent it: path and query.
	RequestURI string
	Host       string
	// Header holds neither Host nor the fields that concern the connection only.
	Header http.Header
	Body   []byte
}

// Response is the whole answer to one request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Acceptor serves the connections of one listener. Its fields are set before Run.
type Acceptor struct {
	// Handle answers one request; its context ends when the client has left. It is
	// called concurrently.
	Handle func(ctx context.Context, q *Request) *Response
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxBodyMemory bounds the bytes of the bodies that are held at once, over all
	// connections.
	MaxBodyMemory int64
	// MaxConnections bounds the open connections; further ones wait in the queue of
	// the listener.
	MaxConnections int
	// OnError is told of connections that end with an error of the protocol; it may
	// be nil.
	OnError func(remote string, status int, cause error)

	held    atomic.Int64
	leaving atomic.Bool
	mutex   sync.Mutex
	conns   map[*conn]struct{}
	group   sync.WaitGroup
	done    chan struct{}
	once    sync.Once
}

// Prepare readies the acceptor for Run and Stop, which may then be called in any
// order.
func (a *Acceptor) Prepare() {
	a.conns = map[*conn]struct{}{}
	a.done = make(chan struct{})
}

// Run accepts connections until the listener is closed.
func (a *Acceptor) Run(l net.Listener) error {
	room := make(chan struct{}, a.MaxConnections)
	for {
		room <- struct{}{}
		socket, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			<-room
			a.fail(l.Addr().String(), 0, err)
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(a, socket)
		if !a.add(c) {
			socket.Close()
			<-room
			continue
		}
		a.group.Go(func() {
			defer func() { <-room }()
			defer a.remove(c)
			c.serve()
		})
	}
}

// StartDraining makes each connection end with its next answer that nothing is waiting
// behind.
func (a *Acceptor) StartDraining() { a.leaving.Store(true) }

// CloseIdle closes the connections on which nothing is under way.
func (a *Acceptor) CloseIdle() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for c := range a.conns {
		c.endIdle()
	}
}

// Busy returns the number of requests that are read and not answered.
func (a *Acceptor) Busy() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	n := 0
	for c := range a.conns {
		n += c.outstanding()
	}
	return n
}

// OpenConnections returns the number of open connections.
func (a *Acceptor) OpenConnections() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.conns)
}

// Stop closes every connection and waits for their ends.
func (a *Acceptor) Stop() {
	a.once.Do(func() { close(a.done) })
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

func (a *Acceptor) fail(remote string, status int, cause error) {
	if a.OnError != nil {
		a.OnError(remote, status, cause)
	}
}

// errMemory is the cause of a refused body that does not fit the memory.
var errMemory = trace.LimitExceeded("the bodies under way use all memory that is set aside for them")
