package streamer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/reserver"
)

// pieceBytes is the size of one read from the target.
const pieceBytes = 32 << 10

// ErrClosed is the error of a body that its client no longer reads or whose context has
// ended.
var ErrClosed = errors.New("the body is closed")

// Options are what a Body needs. All fields must be set.
type Options struct {
	// Source is the rest of the body. It ends with io.EOF only if it is complete. It is
	// closed after its end.
	Source io.ReadCloser
	// Context ends the body. A Read of Source then fails. Cancel ends the context.
	Context context.Context
	Cancel  func()
	// Memory counts what has been read and not yet passed on.
	Memory *reserver.Reserver
	// OnEnd is called once, when Source has ended. The error is nil if it is complete. The
	// pause is the longest time for which it was left unread.
	OnEnd func(err error, pause time.Duration)
}

// Body is the rest of a response body. One goroutine may call Next and Close.
type Body struct {
	options Options
	// done is closed after OnEnd has returned. failed is closed when the source has ended
	// early.
	done, failed chan struct{}

	mutex   sync.Mutex
	changed *sync.Cond
	// pieces holds what has been read and not yet returned by Next. Its bytes, and those
	// of current, are reserved.
	pieces  [][]byte
	current []byte
	// err is set when the source has ended, to io.EOF if it is complete.
	err error
	// closed is set by Close, ended at the end of the context.
	closed, ended bool
}

// Start returns a body that reads ahead.
func Start(o Options) *Body {
	b := &Body{options: o, done: make(chan struct{}), failed: make(chan struct{})}
	b.changed = sync.NewCond(&b.mutex)
	context.AfterFunc(o.Context, func() {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.ended = true
		b.changed.Broadcast()
	})
	go b.read()
	return b
}

// Failed returns a channel that is closed when the source has ended early.
func (b *Body) Failed() <-chan struct{} { return b.failed }

// Next returns the next piece. The error is io.EOF after the last piece of a complete
// body. After an early end of the source, the pieces that are left are of no use and are
// not returned. The piece is valid until the next call.
func (b *Body) Next() ([]byte, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.releaseCurrent()
	for len(b.pieces) == 0 && b.err == nil && !b.closed {
		b.changed.Wait()
	}
	switch {
	case b.closed:
		return nil, ErrClosed
	case b.err != nil && b.err != io.EOF, len(b.pieces) == 0:
		return nil, b.err
	}
	b.current, b.pieces = b.pieces[0], b.pieces[1:]
	b.changed.Broadcast()
	return b.current, nil
}

// Close ends the body. A source that has not ended is canceled.
func (b *Body) Close() {
	b.mutex.Lock()
	isFirst := !b.closed
	b.closed = true
	b.changed.Broadcast()
	b.mutex.Unlock()
	if !isFirst {
		return
	}
	select {
	case <-b.done:
	default:
		b.options.Cancel()
		<-b.done
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.releaseCurrent()
	for _, p := range b.pieces {
		b.options.Memory.Release(int64(len(p)))
	}
	b.pieces = nil
}

func (b *Body) releaseCurrent() {
	b.options.Memory.Release(int64(len(b.current)))
	b.current = nil
}

// read reads the source to its end.
func (b *Body) read() {
	defer close(b.done)
	var longestPause time.Duration
	buffer := make([]byte, pieceBytes)
	for {
		start := time.Now()
		if err := b.awaitRoom(); err != nil {
			b.endSource(err, longestPause)
			b.add(nil, err)
			return
		}
		longestPause = max(longestPause, time.Since(start))
		n, err := b.options.Source.Read(buffer)
		if err != nil {
			b.endSource(err, longestPause)
		}
		b.options.Memory.Release(int64(pieceBytes - n))
		b.add(buffer[:n], err)
		if err != nil {
			return
		}
	}
}

// endSource closes the source and calls OnEnd. It does so before the client can see the
// end, and leave because of it.
func (b *Body) endSource(err error, longestPause time.Duration) {
	_ = b.options.Source.Close()
	if err == io.EOF {
		b.options.OnEnd(nil, longestPause)
		return
	}
	b.options.OnEnd(err, longestPause)
	close(b.failed)
}

// awaitRoom reserves memory for one piece. It waits while there is none and the client
// has a piece to read.
func (b *Body) awaitRoom() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for !b.closed && !b.ended {
		if len(b.pieces) == 0 {
			b.options.Memory.Force(pieceBytes)
			return nil
		}
		if b.options.Memory.Take(pieceBytes) {
			return nil
		}
		b.changed.Wait()
	}
	return ErrClosed
}

// add appends what was read into the memory that awaitRoom has reserved.
func (b *Body) add(piece []byte, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	last := len(b.pieces) - 1
	switch {
	case len(piece) == 0:
	case last >= 0 && len(b.pieces[last])+len(piece) <= pieceBytes:
		// A target that sends single bytes would otherwise fill the memory with slices.
		b.pieces[last] = append(b.pieces[last], piece...)
	default:
		b.pieces = append(b.pieces, append([]byte(nil), piece...))
	}
	b.err = err
	b.changed.Broadcast()
}
