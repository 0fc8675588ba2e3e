package exchanger

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection: a target whose queue of new
	// connections is full drops the first packet, and others may have room.
	dialTimeout = 300 * time.Millisecond
	// unacknowledged ends a connection whose peer has not acknowledged what was
	// sent; it allows two retransmissions.
	unacknowledged = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a peer that has lost
	// power while it works on a request.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleDefault is how long a connection is kept whose target tells no timeout.
	idleDefault = 4 * time.Second
	// idleMargin is the part of a target's idle timeout that is not used, since
	// the target's clock started earlier and a request takes time to arrive.
	idleMargin = 2 * time.Second
	// recent is how long ago a connection must have been seen alive to carry a
	// request that must not run twice.
	recent = 250 * time.Millisecond
)

// Exchanger holds the connections to all targets. Its fields are set before the
// first use.
type Exchanger struct {
	// OnConnect is called for every new connection; it may be nil.
	OnConnect func(target netip.AddrPort)

	mutex sync.Mutex
	pools map[netip.AddrPort]*pool
}

// pool holds the connections to one target.
type pool struct {
	// idle holds the unused connections, the last used one at the end.
	idle []*conn
	// open counts all connections, the ones in use included.
	open int
}

// New returns an exchanger without connections.
func New() *Exchanger {
	return &Exchanger{pools: map[netip.AddrPort]*pool{}}
}

// errCrowded means that all connections that a target may get from here are in use.
var errCrowded = trace.LimitExceeded("all connections to the target are in use")

// acquire returns a connection to a target: a kept one, or a new one if none is
// left that was seen alive recently enough.
func (x *Exchanger) acquire(ctx context.Context, target netip.AddrPort, most int, careful bool) (*conn, error) {
	for c := x.take(target); c != nil; c = x.take(target) {
		now := time.Now()
		if !now.Before(c.until) || !c.quiet() {
			c.close()
			continue
		}
		if !careful || now.Sub(c.seen) < recent {
			return c, nil
		}
		// The others were seen alive even longer ago.
		x.put(c)
		break
	}
	return x.dial(ctx, target, most)
}

func (x *Exchanger) take(target netip.AddrPort) *conn {
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

func (x *Exchanger) dial(ctx context.Context, target netip.AddrPort, most int) (*conn, error) {
	if !x.reserve(target, most) {
		return nil, errCrowded
	}
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: limitUnacknowledged,
	}
	socket, err := d.DialContext(ctx, "tcp4", target.String())
	if err != nil {
		x.release(target)
		return nil, trace.Wrap(err)
	}
	if x.OnConnect != nil {
		x.OnConnect(target)
	}
	return newConn(x, target, socket), nil
}

// limitUnacknowledged bounds how long sent bytes may stay unacknowledged.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(failed)
}

func (x *Exchanger) reserve(target netip.AddrPort, most int) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	p := x.pools[target]
	if p == nil {
		p = &pool{}
		x.pools[target] = p
	}
	if p.open >= most {
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

func (x *Exchanger) put(c *conn) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	p := x.pools[c.target]
	p.idle = append(p.idle, c)
}

// CloseExpired closes the connections that have been idle for too long.
func (x *Exchanger) CloseExpired(now time.Time) {
	for _, c := range x.expired(now) {
		c.close()
	}
}

func (x *Exchanger) expired(now time.Time) []*conn {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var old []*conn
	for _, p := range x.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle = kept
	}
	return old
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
