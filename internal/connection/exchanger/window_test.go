package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/standin/shrinker"
)

// listenSmall listens for connections whose receive buffer holds far less than a long request.
func listenSmall(t *testing.T) net.Listener {
	t.Helper()
	c := net.ListenConfig{Control: shrinker.ShrinkReceiveBuffer}
	l, err := c.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// silence makes the kernel drop all that arrives on a connection, as if its host had lost power
// or its link had been cut.
func silence(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	require.NoError(t, raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	}))
	require.NoError(t, err)
}

// sendBody sends a request with an identifier and a body of a size.
func sendBody(x *Exchanger, l net.Listener, id string, bodyBytes int) (sender.Effect, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	q := newRequest(id, false)
	q.Method, q.Body = http.MethodPost, make([]byte, bodyBytes)
	_, effect, err := x.Send(ctx, netip.MustParseAddrPort(l.Addr().String()), q)
	return effect, err
}

// Guards against requests that are broken off as if their target were dead while it is alive and
// has paused in reading them: its window is closed, and it acknowledges each window probe.
func TestTargetThatPausesInReadingIsNotDead(t *testing.T) {
	for _, bodyBytes := range []int{12 << 10, 8 << 20} {
		t.Run(fmt.Sprint(bodyBytes), func(t *testing.T) {
			t.Parallel()
			l := listenSmall(t)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				time.Sleep(2500 * time.Millisecond)
				q, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if _, err := io.CopyN(io.Discard, q.Body, int64(bodyBytes/2)); err != nil {
					return
				}
				time.Sleep(2500 * time.Millisecond)
				if _, err := io.Copy(io.Discard, q.Body); err != nil {
					return
				}
				write(c, completeResponse("1", "body"))
			}()
			effect, err := sendBody(New(), l, "1", bodyBytes)
			require.NoError(t, err)
			require.Equal(t, sender.Done, effect)
		})
	}
}

// Guards against requests that wait for a target that is dead: one that received nothing, one
// that was reading, one whose window was closed, and one that was at work.
func TestDeadTargetIsNoticed(t *testing.T) {
	for name, test := range map[string]struct {
		bodyBytes int
		// readBytes is what the target reads of the request.
		readBytes int64
		// pause is how long the target lives on without reading.
		pause  time.Duration
		atMost time.Duration
	}{
		"short request, nothing received": {bodyBytes: 100, atMost: 2 * tcpUserTimeout},
		"long request, nothing received":  {bodyBytes: 8 << 20, atMost: 2 * tcpUserTimeout},
		"while it reads":                  {bodyBytes: 64 << 20, readBytes: 1 << 20, atMost: 2 * tcpUserTimeout},
		// A probe comes after the window has been closed for as long again at most.
		"while its window is closed": {bodyBytes: 8 << 20, readBytes: 1, pause: 2 * time.Second, atMost: 2*time.Second + 2*tcpUserTimeout},
		"while it works":             {bodyBytes: 1, readBytes: 10, atMost: keepAliveIdle + keepAliveInterval + 500*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, silent := listenSmall(t), make(chan time.Time, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { c.Close() })
				r := bufio.NewReaderSize(c, 16)
				if q, err := http.ReadRequest(r); err != nil || q.Body.Close() != nil {
					return
				}
				if test.readBytes == 0 {
					silence(t, c)
					silent <- time.Now()
				}
				write(c, completeResponse("1", "body"))
				_, _ = io.CopyN(io.Discard, r, test.readBytes)
				time.Sleep(test.pause)
				silence(t, c)
				silent <- time.Now()
			}()
			x := New()
			_, err := sendBody(x, l, "1", 0)
			require.NoError(t, err)
			effect, err := sendBody(x, l, "2", test.bodyBytes)
			ended := time.Now()
			require.Error(t, err)
			require.Equal(t, sender.Lost, effect)
			took := ended.Sub(<-silent)
			t.Log(took, err)
			require.Less(t, took, test.atMost)
			require.Greater(t, took, 500*time.Millisecond)
		})
	}
}
