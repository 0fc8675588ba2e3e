package sender

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/checker"
)

// pool holds the connections to one target.
type pool struct {
	// transport is replaced when share changes.
	transport atomic.Pointer[http.Transport]
	// open counts the connections of all transports that the pool has had.
	open atomic.Int64
	// share is the greatest number of open connections: this instance's share of
	// the connections that the target accepts from the fleet.
	share atomic.Int64
	// mutex serializes changes of share.
	mutex sync.Mutex
}

// SetConnectionShare sets the greatest number of connections to a target. A share
// below 1 counts as 1.
func (s *Sender) SetConnectionShare(target netip.AddrPort, share int) {
	p := s.pool(target)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.share.Swap(int64(max(share, 1))) == int64(max(share, 1)) {
		return
	}
	if t := p.transport.Swap(s.transport(p, target)); t != nil {
		t.CloseIdleConnections()
	}
}

// OpenConnections returns the number of open connections to a target.
func (s *Sender) OpenConnections(target netip.AddrPort) int {
	return int(s.pool(target).open.Load())
}

// closedPoolCount is the open count of a removed pool. It exceeds every share, so
// a caller that still holds the pool opens no connection.
const closedPoolCount = 1 << 32

// Retain closes the idle connections to targets that are not in use. It keeps the
// pool of a target that still has open connections, so that they count against
// the share if the target is used again.
func (s *Sender) Retain(used func(target netip.AddrPort) bool) {
	s.pools.Range(func(key, value any) bool {
		p := value.(*pool)
		if used(key.(netip.AddrPort)) {
			return true
		}
		p.transport.Load().CloseIdleConnections()
		if p.open.CompareAndSwap(0, closedPoolCount) {
			s.pools.CompareAndDelete(key, value)
		}
		return true
	})
}

func (s *Sender) pool(target netip.AddrPort) *pool {
	if p, ok := s.pools.Load(target); ok {
		return p.(*pool)
	}
	p := &pool{}
	p.share.Store(1)
	p.transport.Store(s.transport(p, target))
	loaded, _ := s.pools.LoadOrStore(target, p)
	return loaded.(*pool)
}

func (s *Sender) transport(p *pool, target netip.AddrPort) *http.Transport {
	share := int(p.share.Load())
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return s.dial(ctx, p, target, network, address)
		},
		MaxConnsPerHost:     share,
		MaxIdleConnsPerHost: share,
		IdleConnTimeout:     idleTimeout,
		// The response is passed on as the target sent it.
		DisableCompression: true,
	}
}

// dial opens a connection. It fails if the share is used up. Each transport keeps
// its own bound, so this happens only for a moment after the share was changed,
// while connections of the replaced transport are open, or if the pool was removed.
func (s *Sender) dial(ctx context.Context, p *pool, target netip.AddrPort, network, address string) (net.Conn, error) {
	if p.open.Add(1) > p.share.Load() {
		p.open.Add(-1)
		return nil, trace.LimitExceeded("all connections to %s are in use", target)
	}
	d := net.Dialer{Timeout: s.DialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		p.open.Add(-1)
		return nil, trace.Wrap(err)
	}
	if s.OnConnect != nil {
		s.OnConnect(target)
	}
	return &countedConn{Conn: checker.New(c), open: &p.open}, nil
}

// countedConn is a connection that decrements the count of its pool when it is
// closed for the first time.
type countedConn struct {
	*checker.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.open.Add(-1) })
	return err
}
