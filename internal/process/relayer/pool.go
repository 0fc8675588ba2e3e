package relayer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// maxLinks bounds the number of connections. Above the bound, each sweep closes
	// the least recently used links that are not busy. The bound exceeds the size of
	// one place of a fleet of 1,100 instances, because the reader of a place sends
	// its confirmations to all other instances of the place.
	maxLinks = 512
	// linkIdleTimeout is the time after which an unused connection is closed.
	linkIdleTimeout = 2 * time.Minute
	// linkStallTimeout is the time after which a connection on which nothing was
	// received since a ping is no longer used.
	linkStallTimeout = 3 * time.Second
	// lingerTimeout bounds the wait at shutdown until a peer has read the sent
	// messages. It leaves time for TCP to resend a lost segment after 200 ms.
	lingerTimeout = 400 * time.Millisecond
)

// pool holds one connection per peer for new messages. Either side may have dialed
// it.
type pool struct {
	relayer *Relayer

	// mutex guards the fields below.
	mutex   sync.Mutex
	links   map[netip.AddrPort]*link
	dialing map[netip.AddrPort]*dialAttempt
	// all holds every open link, including those replaced in links.
	all map[*link]struct{}
	// closed is set when the relayer stops.
	closed bool
}

// dialAttempt is a dial whose result several callers may wait for.
type dialAttempt struct {
	done chan struct{}
	// link and err are set before done is closed.
	link *link
	err  error
}

func newPool(r *Relayer) *pool {
	return &pool{
		relayer: r,
		links:   map[netip.AddrPort]*link{},
		dialing: map[netip.AddrPort]*dialAttempt{},
		all:     map[*link]struct{}{},
	}
}

// get returns the pooled connection to a peer, or dials one.
func (p *pool) get(ctx context.Context, peer netip.AddrPort) (*link, error) {
	p.mutex.Lock()
	if l := p.links[peer]; l != nil {
		p.mutex.Unlock()
		return l, nil
	}
	d := p.dialing[peer]
	if d == nil {
		d = &dialAttempt{done: make(chan struct{})}
		if !p.relayer.spawn(func() { p.dial(peer, d) }) {
			p.mutex.Unlock()
			return nil, errLinkClosed
		}
		p.dialing[peer] = d
	}
	p.mutex.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
}

// redial replaces a pooled connection by a new one. It does not join a dial that is
// in progress, so the new connection leads to the process that listens at the
// address after the call.
func (p *pool) redial(ctx context.Context, old *link) (*link, error) {
	p.retire(old)
	return p.connect(ctx, old.peer)
}

// dial connects to a peer on behalf of all callers that wait for the attempt.
func (p *pool) dial(peer netip.AddrPort, d *dialAttempt) {
	ctx, cancel := context.WithTimeout(p.relayer.context, peerTimeout)
	defer cancel()
	d.link, d.err = p.connect(ctx, peer)
	p.mutex.Lock()
	delete(p.dialing, peer)
	p.mutex.Unlock()
	close(d.done)
}

func (p *pool) connect(ctx context.Context, peer netip.AddrPort) (*link, error) {
	if !p.relayer.options.Allow(peer) {
		// A denied peer behaves as in a network partition: the dial times out.
		<-ctx.Done()
		return nil, trace.ConnectionProblem(ctx.Err(), "dialing peer %s", peer)
	}
	c, err := p.relayer.endpoint.Dial(ctx, peer)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if c.Remote().Peer != peer {
		c.Close()
		return nil, trace.BadParameter("dialed peer %s, but the instance identifies itself as %s", peer, c.Remote().Peer)
	}
	l := newLink(p.relayer, c)
	if !p.add(l) {
		return nil, errLinkClosed
	}
	return l, nil
}

// accept adds a connection that a peer dialed.
func (p *pool) accept(socket net.Conn) {
	c, err := p.relayer.endpoint.Server(socket)
	if err != nil {
		socket.Close()
		return
	}
	if !p.relayer.options.Allow(c.Remote().Peer) {
		c.Close()
		return
	}
	p.add(newLink(p.relayer, c))
}

// add adds a link to the pool and starts to serve it. After the relayer has
// stopped, add closes the link and returns false.
func (p *pool) add(l *link) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		l.close()
		return false
	}
	if !p.relayer.spawn(l.serve) {
		l.close()
		return false
	}
	p.links[l.peer] = l
	p.all[l] = struct{}{}
	p.relayer.peers.add(l.conn.Remote(), l.conn.Capabilities())
	return true
}

// remove removes a closed link from the pool.
func (p *pool) remove(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.all, l)
	if p.links[l.peer] == l {
		delete(p.links, l.peer)
	}
}

// retire excludes a link from further use. It stays open, so that pending responses
// can still arrive.
func (p *pool) retire(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.links[l.peer] == l {
		delete(p.links, l.peer)
	}
}

// sweep retires stalled links and closes idle links. While there are more than
// maxLinks, it also closes the least recently used link that is not busy.
func (p *pool) sweep(now time.Time) {
	age := now.Sub(p.relayer.started)
	for _, l := range p.open() {
		if pingSent := l.pingSent.Load(); pingSent != 0 && age-time.Duration(pingSent) > linkStallTimeout {
			p.retire(l)
		}
		if age-time.Duration(l.lastUsed.Load()) > linkIdleTimeout && !l.busy() {
			l.close()
		}
	}
	for l := p.excessLink(); l != nil; l = p.excessLink() {
		p.retire(l)
		l.close()
		p.remove(l)
	}
}

// open returns all open links.
func (p *pool) open() []*link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	links := make([]*link, 0, len(p.all))
	for l := range p.all {
		links = append(links, l)
	}
	return links
}

// excessLink returns the least recently used link that is not busy if there are more
// than maxLinks, otherwise nil.
func (p *pool) excessLink() *link {
	links := p.open()
	if len(links) <= maxLinks {
		return nil
	}
	var leastRecentlyUsed *link
	for _, l := range links {
		if !l.busy() && (leastRecentlyUsed == nil || l.lastUsed.Load() < leastRecentlyUsed.lastUsed.Load()) {
			leastRecentlyUsed = l
		}
	}
	return leastRecentlyUsed
}

// closeAll prevents new links, and closes each open link after its peer has read the
// sent messages or after lingerTimeout.
func (p *pool) closeAll() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	for _, l := range p.open() {
		l.finish()
	}
}
