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
	// maxLinks bounds the pooled connections; the least used goes first. It is above
	// the size of a zone of a fleet of 1,100, in which a reader talks with everybody.
	maxLinks = 512
	// idleLink is the time after which an unused connection is closed.
	idleLink = 2 * time.Minute
	// stalledLink is the time after a ping without any sign from the other side
	// after which a connection is no longer used.
	stalledLink = 3 * time.Second
	// lingerTimeout bounds the wait for a peer to read what was sent before a
	// stop: a lost packet is sent again after 200 ms.
	lingerTimeout = 400 * time.Millisecond
)

// pool holds one connection per peer, dialed by either side.
type pool struct {
	relayer *Relayer

	// mutex guards the rest.
	mutex   sync.Mutex
	links   map[netip.AddrPort]*link
	dialing map[netip.AddrPort]*dialing
	// all holds every open link, replaced ones included.
	all map[*link]struct{}
	// shut is set when the relayer has stopped.
	shut bool
}

// dialing is one attempt to connect that several may wait for.
type dialing struct {
	done chan struct{}
	// link and err are set before done is closed.
	link *link
	err  error
}

func newPool(r *Relayer) *pool {
	return &pool{
		relayer: r,
		links:   map[netip.AddrPort]*link{},
		dialing: map[netip.AddrPort]*dialing{},
		all:     map[*link]struct{}{},
	}
}

// get returns the pooled connection to a peer or dials one.
func (p *pool) get(ctx context.Context, peer netip.AddrPort) (*link, error) {
	p.mutex.Lock()
	if l := p.links[peer]; l != nil {
		p.mutex.Unlock()
		return l, nil
	}
	d := p.dialing[peer]
	if d == nil {
		d = &dialing{done: make(chan struct{})}
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

// renew dials a connection in place of a pooled one. It joins no dial that is
// under way: what answers is what listens at the address after the call.
func (p *pool) renew(ctx context.Context, old *link) (*link, error) {
	p.forget(old)
	return p.connect(ctx, old.peer)
}

// dial connects for all who wait.
func (p *pool) dial(peer netip.AddrPort, d *dialing) {
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
		<-ctx.Done()
		return nil, trace.ConnectionProblem(ctx.Err(), "dialing peer %s", peer)
	}
	c, err := p.relayer.endpoint.Dial(ctx, peer)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if c.Remote().Peer != peer {
		c.Close()
		return nil, trace.BadParameter("the instance at %s calls itself %s", peer, c.Remote().Peer)
	}
	l := newLink(p.relayer, c)
	if !p.add(l) {
		return nil, errLinkClosed
	}
	return l, nil
}

// accept serves a connection that a peer dialed.
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

// add pools a link and starts to read it. It reports false after the stop.
func (p *pool) add(l *link) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.shut {
		l.close()
		return false
	}
	if !p.relayer.spawn(l.serve) {
		l.close()
		return false
	}
	p.links[l.peer] = l
	p.all[l] = struct{}{}
	return true
}

// drop removes a link that has ended.
func (p *pool) drop(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.all, l)
	if p.links[l.peer] == l {
		delete(p.links, l.peer)
	}
}

// forget keeps a link from further use; answers in flight may still arrive.
func (p *pool) forget(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.links[l.peer] == l {
		delete(p.links, l.peer)
	}
}

// sweep closes links that are idle or not needed and stops using stalled ones.
func (p *pool) sweep(now time.Time) {
	age := now.Sub(p.relayer.started)
	for _, l := range p.open() {
		if asked := l.asked.Load(); asked != 0 && age-time.Duration(asked) > stalledLink {
			p.forget(l)
		}
		if age-time.Duration(l.used.Load()) > idleLink && !l.busy() {
			l.close()
		}
	}
	for l := p.surplus(); l != nil; l = p.surplus() {
		p.forget(l)
		l.close()
		p.drop(l)
	}
}

// open returns every open link.
func (p *pool) open() []*link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	links := make([]*link, 0, len(p.all))
	for l := range p.all {
		links = append(links, l)
	}
	return links
}

// surplus returns the least used link that can be spared when there are too many.
func (p *pool) surplus() *link {
	links := p.open()
	if len(links) <= maxLinks {
		return nil
	}
	var least *link
	for _, l := range links {
		if !l.busy() && (least == nil || l.used.Load() < least.used.Load()) {
			least = l
		}
	}
	return least
}

// closeAll closes every link, after its last message, and refuses new ones.
func (p *pool) closeAll() {
	p.mutex.Lock()
	p.shut = true
	p.mutex.Unlock()
	for _, l := range p.open() {
		l.finish()
	}
}
