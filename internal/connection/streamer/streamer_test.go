package streamer

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/connection/reserver"
)

// source is a body that records how much of it was read.
type source struct {
	reader io.Reader
	read   chan int
	closed chan struct{}
}

func newSource(r io.Reader) *source {
	return &source{reader: r, read: make(chan int, 1<<16), closed: make(chan struct{})}
}

func (s *source) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	s.read <- n
	return n, err
}

func (s *source) Close() error { close(s.closed); return nil }

// total returns the bytes read until no more are read for some time.
func (s *source) total() int {
	n := 0
	for {
		select {
		case k := <-s.read:
			n += k
		case <-time.After(100 * time.Millisecond):
			return n
		}
	}
}

type ending struct {
	err   error
	pause time.Duration
}

func start(s *source, m *reserver.Reserver, cancel func()) (*Body, chan ending) {
	return startIn(context.Background(), s, m, cancel)
}

func startIn(ctx context.Context, s *source, m *reserver.Reserver, cancel func()) (*Body, chan ending) {
	ended := make(chan ending, 1)
	return Start(Options{Source: s, Context: ctx, Memory: m, Cancel: cancel, OnEnd: func(err error, pause time.Duration) { ended <- ending{err, pause} }}), ended
}

func readAll(t *testing.T, b *Body) []byte {
	t.Helper()
	var all []byte
	for {
		piece, err := b.Next()
		if err == io.EOF {
			return all
		}
		require.NoError(t, err)
		all = append(all, piece...)
	}
}

func content(n int) []byte { return bytes.Repeat([]byte("0123456789abcde\n"), n/16) }

// Guards against a target that keeps its response, and its slot, until a slow client has
// read it although the instance has memory, and against one that is read beyond the memory.
func TestReadsAheadWithinTheMemory(t *testing.T) {
	const size = 8 << 20
	for _, limit := range []int64{0, 1 << 20, 2 * size} {
		s, all := newSource(bytes.NewReader(content(size))), reserver.New(1<<30, nil)
		m := reserver.New(limit, all)
		b, ended := start(s, m, func() {})
		n := s.total()
		require.LessOrEqual(t, n, int(limit)+pieceBytes)
		require.GreaterOrEqual(t, n, min(size, max(int(limit)-pieceBytes, pieceBytes)))
		require.LessOrEqual(t, all.Held(), limit+2*pieceBytes)
		require.Equal(t, limit > size, len(ended) == 1, "the target is done when its body has been read")
		require.Equal(t, content(size), readAll(t, b))
		e := <-ended
		require.NoError(t, e.err)
		require.Equal(t, limit < size, e.pause > 50*time.Millisecond)
		b.Close()
		require.Zero(t, all.Held())
	}
}

// Guards against two slow clients that wait for each other's memory, and against a client
// that gets nothing while another one holds all of it.
func TestASlowClientDoesNotHoldUpOthers(t *testing.T) {
	const size = 4 << 20
	m := reserver.New(1<<20, nil)
	slow, _ := start(newSource(bytes.NewReader(content(size))), m, func() {})
	require.Eventually(t, func() bool { return m.Held() > 1<<19 }, 5*time.Second, time.Millisecond)
	for range 3 {
		b, _ := start(newSource(bytes.NewReader(content(size))), m, func() {})
		require.Equal(t, content(size), readAll(t, b))
		b.Close()
	}
	require.Equal(t, content(size), readAll(t, slow))
	slow.Close()
	require.Zero(t, m.Held())
}

// Guards against a body that ends early and looks complete, and against a client that
// waits for the end of a write meanwhile.
func TestAnEarlyEndIsAnError(t *testing.T) {
	s := newSource(io.MultiReader(bytes.NewReader(content(1<<20)), &failing{io.ErrUnexpectedEOF}))
	b, ended := start(s, reserver.New(1<<30, nil), func() {})
	n := 0
	for {
		piece, err := b.Next()
		if err != nil {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			break
		}
		n += len(piece)
	}
	require.LessOrEqual(t, n, 1<<20)
	<-b.Failed()
	require.ErrorIs(t, (<-ended).err, io.ErrUnexpectedEOF)
	b.Close()
}

type failing struct{ err error }

func (f *failing) Read([]byte) (int, error) { return 0, f.err }

// Guards against a target that works on for a client that has left, whether the body is
// waiting for the target or for memory, and against memory that stays reserved.
func TestCloseEndsTheSource(t *testing.T) {
	for _, limit := range []int64{0, 1 << 20} {
		r, w := io.Pipe()
		s, m := newSource(r), reserver.New(limit, nil)
		b, ended := start(s, m, func() { r.CloseWithError(io.ErrClosedPipe) })
		go func() { _, _ = w.Write(content(1 << 18)) }()
		_, err := b.Next()
		require.NoError(t, err)
		b.Close()
		<-s.closed
		require.Error(t, (<-ended).err)
		require.Zero(t, m.Held())
		_, err = b.Next()
		require.ErrorIs(t, err, ErrClosed)
		b.Close()
	}
}

// Guards against a response that outlasts its deadline because its client reads slowly and
// no memory is left.
func TestTheEndOfTheContextEndsAWaitForMemory(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s, m := newSource(bytes.NewReader(content(1<<20))), reserver.New(0, nil)
	b, ended := startIn(ctx, s, m, cancel)
	require.Equal(t, pieceBytes, s.total())
	cancel()
	require.ErrorIs(t, (<-ended).err, ErrClosed)
	<-b.Failed()
	b.Close()
	require.Zero(t, m.Held())
}
