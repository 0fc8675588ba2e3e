package exchanger

import (
	"context"
	"errors"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/inspector"
	"oriolecourse.example/oriolecourse/internal/connection/reserver"
)

const (
	// dialTimeout bounds the opening of a connection. A target whose accept queue is
	// full drops the SYN; a short timeout lets the request go to another target that
	// may have a free slot.
	dialTimeout = 300 * time.Millisecond
	// tcpUserTimeout closes a connection whose target does not acknowledge the sent
	// data. It allows two retransmissions. It also decides when keep-alive probes give up.
	tcpUserTimeout = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a target that loses
	// power while it executes a request.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout applies if the target does not report its idle timeout in a
	// Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleSeconds bounds the idle timeout that a target reports.
	maxIdleSeconds = 3600
	// idleMargin is subtracted from the idle timeout of a target, because the target
	// starts to count earlier and a request takes time to arrive.
	idleMargin = 2 * time.Second
	// maxNonIdempotentIdle is how recently a connection must have received a response
	// to carry a non-idempotent request. The target may have closed a connection that
	// has been idle for longer.
	maxNonIdempotentIdle = 250 * time.Millisecond
)

// Exchanger holds the connections to all targets. Its fields must be set before
// the first use.
type Exchanger struct {
	// LocalAddress is the address from which targets are reached; the zero value means any.
	LocalAddress netip.Addr
	// Memory counts the first parts of streamed responses. It may be nil.
	Memory *reserver.Reserver
	// Whole counts the bodies that are read as a whole, until they are complete. New sets one
	// without a limit.
	Whole *reserver.Reserver
	// OnConnect is called for every new connection. It may be nil.
	OnConnect func(target netip.AddrPort)
	// OnContact is called with the outcome of the first exchange of every connection that
	// was opened or could not be opened, unless the caller gave the exchange up. The error
	// is nil if the target responded. It may be nil. What happens on older connections says
	// nothing about the path to a target: they may live on when no new one can be opened.
	OnContact func(target netip.AddrPort, err error)

	mutex sync.Mutex
	pools map[netip.AddrPort]*pool
}

// pool holds the connections to one target.
type pool struct {
	// idle is a stack of the idle connections, the most recently used one last.
	idle []*conn
	// open counts all connections, idle and in use.
	open int
}

// New returns an Exchanger without connections.
func New() *Exchanger {
	return &Exchanger{pools: map[netip.AddrPort]*pool{}, Whole: reserver.New(math.MaxInt64, nil)}
}

// errAllInUse is returned when the greatest number of connections to a target is
// open and none can be used.
var errAllInUse = trace.LimitExceeded("all connections to the target are in use")

// acquire returns an idle connection to a target, or a new one if no idle
// connection can carry the request.
func (x *Exchanger) acquire(ctx context.Context, target netip.AddrPort, q *Request) (*conn, error) {
	if !q.NewConnection {
		if c := x.acquireIdle(target, q); c != nil {
			return c, nil
		}
	}
	return x.dial(ctx, target, q.MaxConnections)
}

// acquireIdle returns an idle connection that can carry the request, or nil.
func (x *Exchanger) acquireIdle(target netip.AddrPort, q *Request) *conn {
	var passedOver []*conn
	defer func() {
		// The most recently used one becomes the last one again.
		for _, c := range slices.Backward(passedOver) {
			x.pushIdle(c)
		}
	}()
	for c := x.popIdle(target); c != nil; c = x.popIdle(target) {
		now := time.Now()
		switch {
		case !now.Before(c.expires) || !c.isUsable():
			c.close()
		case q.NonIdempotent && now.Sub(c.lastResponse) >= maxNonIdempotentIdle:
			// The other idle connections received their last response even earlier.
			passedOver = append(passedOver, c)
			return nil
		case q.id() != "" && c.carried.contains(q.id()):
			passedOver = append(passedOver, c)
		default:
			return c
		}
	}
	return nil
}

func (x *Exchanger) popIdle(target netip.AddrPort) *conn {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	p := x.pools[target]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (x *Exchanger) dial(ctx context.Context, target netip.AddrPort, maxConnections int) (*conn, error) {
	if !x.reserve(target, maxConnections) {
		return nil, errAllInUse
	}
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: limitSilence,
	}
	if x.LocalAddress.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(x.LocalAddress, 0))
	}
	socket, err := d.DialContext(ctx, "tcp4", target.String())
	if err != nil {
		x.release(target)
		x.recordContact(ctx, target, err)
		return nil, trace.Wrap(err)
	}
	if x.OnConnect != nil {
		x.OnConnect(target)
	}
	return newConn(x, target, socket), nil
}

// recordContact reports the first exchange of a connection. One that its caller canceled
// says nothing about the target.
func (x *Exchanger) recordContact(ctx context.Context, target netip.AddrPort, err error) {
	if x.OnContact == nil || err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	x.OnContact(target, err)
}

// limitSilence sets TCP_USER_TIMEOUT on a new socket.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	return inspector.SetRawUserTimeout(raw, tcpUserTimeout)
}

func (x *Exchanger) reserve(target netip.AddrPort, maxConnections int) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	p := x.pools[target]
	if p == nil {
		p = &pool{}
		x.pools[target] = p
	}
	if p.open >= maxConnections {
		return false
	}
	p.open++
	return true
}

func (x *Exchanger) release(target netip.AddrPort) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	p := x.pools[target]
	p.open--
	if p.open == 0 {
		delete(x.pools, target)
	}
}

func (x *Exchanger) pushIdle(c *conn) {
	c.watch.stop()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	p := x.pools[c.target]
	p.idle = append(p.idle, c)
}

// CloseExpired closes the connections that have been idle for too long at now.
func (x *Exchanger) CloseExpired(now time.Time) {
	for _, c := range x.removeExpired(now) {
		c.close()
	}
}

func (x *Exchanger) removeExpired(now time.Time) []*conn {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var expired []*conn
	for _, p := range x.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle = kept
	}
	return expired
}

// OpenConnections returns the number of open connections to all targets.
func (x *Exchanger) OpenConnections() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	n := 0
	for _, p := range x.pools {
		n += p.open
	}
	return n
}
