package relayer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// errLinkClosed is the error of a call whose connection closed before the response,
// and of a dial while the relayer stops.
var errLinkClosed = trace.ConnectionProblem(nil, "connection to the peer is closed")

// link is one connection to a peer with the calls that are in flight on it.
type link struct {
	relayer *Relayer
	conn    *framer.Conn
	peer    netip.AddrPort
	// lastUsed is when the last message was sent or received. pingSent is when the
	// first ping after the last received message was sent, or 0 if there was none.
	// Both are nanoseconds since the relayer's start.
	lastUsed, pingSent atomic.Int64
	closed             chan struct{}
	closeOnce          sync.Once
	// factsSent is the revision of the facts that were last sent on this link.
	factsSent atomic.Uint64
	// finishing is set when the link is shutting down. It sends nothing more and
	// drops the messages that it receives.
	finishing atomic.Bool

	// mutex guards the fields below.
	mutex   sync.Mutex
	lastID  uint64
	pending map[uint64]chan framer.Message
	// operations holds the running operations of the peer, by message id.
	operations map[uint64]context.CancelFunc
}

func newLink(r *Relayer, c *framer.Conn) *link {
	l := &link{
		relayer:    r,
		conn:       c,
		peer:       c.Remote().Peer,
		closed:     make(chan struct{}),
		pending:    map[uint64]chan framer.Message{},
		operations: map[uint64]context.CancelFunc{},
	}
	l.lastUsed.Store(int64(time.Since(r.started)))
	return l
}

// close closes the connection, ends waiting calls and cancels the operations of the
// peer.
func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.conn.Close()
		l.mutex.Lock()
		defer l.mutex.Unlock()
		for _, cancel := range l.operations {
			cancel()
		}
	})
}

// finish closes the link after the peer has read the messages that were sent, or
// after lingerTimeout.
func (l *link) finish() {
	l.finishing.Store(true)
	if err := l.conn.CloseWrite(lingerTimeout); err != nil {
		// The connection is already broken, so no message can be saved.
		l.close()
	}
}

// busy reports whether either side waits for a response.
func (l *link) busy() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.pending)+len(l.operations) > 0
}

// understands reports whether the peer has the features that a kind of message takes.
func (l *link) understands(kind framer.Kind) bool {
	needed := kindFeatures[kind]
	return Features(l.conn.Capabilities().Features)&needed == needed
}

// send writes one message. An error means that the message was not sent. Messages
// to a peer that Options.Allow denies are dropped without an error. A message that the
// peer's build does not understand is not sent.
func (l *link) send(kind framer.Kind, id uint64, value any) error {
	if !l.understands(kind) {
		return trace.NotImplemented("peer %s does not read messages of kind %s", l.peer, kindNames[kind])
	}
	m, err := framer.Encode(kind, id, value)
	if err != nil {
		return trace.Wrap(err)
	}
	if !l.relayer.options.Allow(l.peer) {
		return nil
	}
	l.lastUsed.Store(int64(time.Since(l.relayer.started)))
	size, err := l.conn.Write(m)
	if err != nil {
		if !trace.IsLimitExceeded(err) && !l.finishing.Load() {
			l.close()
		}
		return trace.Wrap(err)
	}
	l.relayer.metrics.countMessage(sent, kind, size)
	return nil
}

// pendingCall is a sent message whose response has not arrived.
type pendingCall struct {
	link     *link
	id       uint64
	response chan framer.Message
}

// startCall sends a message that has a response. An error means that the message
// was not sent.
func (l *link) startCall(kind framer.Kind, value any) (*pendingCall, error) {
	p := &pendingCall{link: l, response: make(chan framer.Message, 1)}
	l.mutex.Lock()
	l.lastID++
	p.id = l.lastID
	l.pending[p.id] = p.response
	l.mutex.Unlock()
	if err := l.send(kind, p.id, value); err != nil {
		p.remove()
		return nil, err
	}
	return p, nil
}

func (p *pendingCall) remove() {
	p.link.mutex.Lock()
	defer p.link.mutex.Unlock()
	delete(p.link.pending, p.id)
}

// wait waits for the response and decodes it into value. A response that arrived
// before the connection ended is still returned.
func (p *pendingCall) wait(ctx context.Context, value any) error {
	defer p.remove()
	select {
	case m := <-p.response:
		return m.Decode(value)
	case <-p.link.closed:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	select {
	case m := <-p.response:
		return m.Decode(value)
	default:
		return errLinkClosed
	}
}

// call sends a message and waits for its response.
func (l *link) call(ctx context.Context, kind framer.Kind, value, response any) error {
	p, err := l.startCall(kind, value)
	if err != nil {
		return err
	}
	return p.wait(ctx, response)
}

// serve reads and handles messages until the connection ends.
func (l *link) serve() {
	defer l.relayer.pool.remove(l)
	defer l.close()
	for {
		m, size, err := l.conn.Read()
		if err != nil {
			return
		}
		if !l.relayer.options.Allow(l.peer) || l.finishing.Load() {
			continue
		}
		l.lastUsed.Store(int64(time.Since(l.relayer.started)))
		l.pingSent.Store(0)
		if m.Kind == 0 || m.Kind >= messageKindEnd {
			l.relayer.metrics.countUnknown(unknownMessage)
			continue
		}
		l.relayer.metrics.countMessage(received, m.Kind, size)
		if err := l.relayer.handlerTable[m.Kind](l, m, time.Now()); err != nil {
			l.relayer.metrics.countRefusal(framer.Undecodable)
			return
		}
	}
}

// handleResponse passes a response to its waiting call. It drops a response whose
// call has ended.
func handleResponse(l *link, m framer.Message, _ time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if response := l.pending[m.ID]; response != nil {
		delete(l.pending, m.ID)
		response <- m
	}
	return nil
}
