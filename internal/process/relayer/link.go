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

// errLinkClosed is the error of a question whose connection ended before the answer.
var errLinkClosed = trace.ConnectionProblem(nil, "the connection to the peer has ended")

// link is one connection with its questions in flight.
type link struct {
	relayer *Relayer
	conn    *framer.Conn
	peer    netip.AddrPort
	// used is when the last message went either way, asked when the first ping
	// went that nothing has followed yet, both since the relayer's start; asked is
	// 0 when there is none.
	used, asked atomic.Int64
	closed      chan struct{}
	once        sync.Once
	// finishing is set once nothing more is sent and what arrives is dropped.
	finishing atomic.Bool

	// mutex guards the rest.
	mutex   sync.Mutex
	next    uint64
	waiting map[uint64]chan framer.Message
	// running holds the operations that the other side asked for.
	running map[uint64]context.CancelFunc
}

func newLink(r *Relayer, c *framer.Conn) *link {
	l := &link{
		relayer: r,
		conn:    c,
		peer:    c.Remote().Peer,
		closed:  make(chan struct{}),
		waiting: map[uint64]chan framer.Message{},
		running: map[uint64]context.CancelFunc{},
	}
	l.used.Store(int64(time.Since(r.started)))
	return l
}

// close ends the link and everything that waits on it.
func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		l.conn.Close()
		l.mutex.Lock()
		defer l.mutex.Unlock()
		for _, cancel := range l.running {
			cancel()
		}
	})
}

// finish closes the link once the other side has read what was sent.
func (l *link) finish() {
	l.finishing.Store(true)
	if err := l.conn.Finish(lingerTimeout); err != nil {
		// The connection has broken before; there is nothing left to save.
		l.close()
	}
}

// busy reports whether either side waits for an answer.
func (l *link) busy() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.waiting)+len(l.running) > 0
}

// send writes one message. An error means that the message did not leave.
func (l *link) send(kind framer.Kind, id uint64, value any) error {
	m, err := framer.Encode(kind, id, value)
	if err != nil {
		return trace.Wrap(err)
	}
	if !l.relayer.options.Allow(l.peer) {
		return nil
	}
	l.used.Store(int64(time.Since(l.relayer.started)))
	size, err := l.conn.Write(m)
	if err != nil {
		if !trace.IsLimitExceeded(err) && !l.finishing.Load() {
			l.close()
		}
		return trace.Wrap(err)
	}
	l.relayer.traffic.count(sent, kind, size)
	return nil
}

// question is one message that waits for its answer.
type question struct {
	link   *link
	id     uint64
	answer chan framer.Message
}

// ask sends a message that has an answer. An error means that it did not leave.
func (l *link) ask(kind framer.Kind, value any) (*question, error) {
	q := &question{link: l, answer: make(chan framer.Message, 1)}
	l.mutex.Lock()
	l.next++
	q.id = l.next
	l.waiting[q.id] = q.answer
	l.mutex.Unlock()
	if err := l.send(kind, q.id, value); err != nil {
		q.forget()
		return nil, err
	}
	return q, nil
}

func (q *question) forget() {
	q.link.mutex.Lock()
	defer q.link.mutex.Unlock()
	delete(q.link.waiting, q.id)
}

// wait returns the answer decoded into a value.
func (q *question) wait(ctx context.Context, value any) error {
	defer q.forget()
	select {
	case m := <-q.answer:
		return m.Decode(value)
	case <-q.link.closed:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	select {
	case m := <-q.answer:
		return m.Decode(value)
	default:
		return errLinkClosed
	}
}

// call sends a question and waits for its answer.
func (l *link) call(ctx context.Context, kind framer.Kind, value, answer any) error {
	q, err := l.ask(kind, value)
	if err != nil {
		return err
	}
	return q.wait(ctx, answer)
}

// serve reads messages until the connection ends.
func (l *link) serve() {
	defer l.relayer.pool.drop(l)
	defer l.close()
	for {
		m, size, err := l.conn.Read()
		if err != nil {
			return
		}
		if !l.relayer.options.Allow(l.peer) || l.finishing.Load() {
			continue
		}
		l.used.Store(int64(time.Since(l.relayer.started)))
		l.asked.Store(0)
		if m.Kind == 0 || m.Kind >= messageKinds {
			l.relayer.traffic.refuse(framer.Undecodable)
			return
		}
		l.relayer.traffic.count(received, m.Kind, size)
		if err := l.relayer.handle[m.Kind](l, m, time.Now()); err != nil {
			l.relayer.traffic.refuse(framer.Undecodable)
			return
		}
	}
}

// handleAnswer hands an answer to the one who asked; a late one is dropped.
func handleAnswer(l *link, m framer.Message, _ time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if answer := l.waiting[m.ID]; answer != nil {
		delete(l.waiting, m.ID)
		answer <- m
	}
	return nil
}
