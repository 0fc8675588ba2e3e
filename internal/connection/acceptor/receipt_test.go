package acceptor

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/standin/shrinker"
)

// dialSmall opens a connection whose receive buffer holds far less than a large response.
func dialSmall(t *testing.T, address string) net.Conn {
	t.Helper()
	d := net.Dialer{Control: shrinker.ShrinkReceiveBuffer}
	c, err := d.DialContext(t.Context(), "tcp4", address)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	t.Cleanup(func() { c.Close() })
	return c
}

// Guards against clients that read slowly and lose the rest of the last response of their
// connection, which was closed before they had received it: what they send behind their
// request, which is not read, is then answered with a reset.
func TestSlowReaderReceivesTheLastResponse(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 100_000)
	for name, request := range map[string]string{
		"closed by the client's wish": "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"closed as reading ends":      "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"of an older client":          "GET /a HTTP/1.0\r\nHost: h\r\n\r\n",
		"behind an invalid request":   "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b\r\n\r\n",
	} {
		for _, streamed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, streamed %t", name, streamed), func(t *testing.T) {
				t.Parallel()
				a, address := startAcceptor(t, func(context.Context, *Request) *Response {
					if streamed {
						return stream(string(body[:10]), bytes.NewReader(body[10:]), int64(len(body)))
					}
					return &Response{Status: http.StatusOK, Body: body}
				})
				c := dialSmall(t, address)
				write(t, c, request)
				require.Eventually(t, func() bool { return a.BytesWritten() >= uint64(len(body)) }, 5*time.Second, time.Millisecond)
				a.StopReading(time.Now())
				time.Sleep(lingerTimeout + 200*time.Millisecond)
				write(t, c, "GET /behind HTTP/1.1\r\nHost: h\r\n\r\n")
				time.Sleep(100 * time.Millisecond)
				_, got := readResponse(t, bufio.NewReader(c))
				require.Len(t, got, len(body))
			})
		}
	}
}

// Guards against connections that stay open for clients that have received everything, or that
// never read: descriptors and memory would run out.
func TestClosingConnectionsEnd(t *testing.T) {
	for name, test := range map[string]struct {
		bodyBytes       int
		atLeast, atMost time.Duration
	}{
		"received, and not closed by its client": {bodyBytes: 10, atMost: 2 * lingerTimeout},
		// IdleTimeout is 1 s.
		"never read": {bodyBytes: 100_000, atLeast: time.Second, atMost: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, address := startAcceptor(t, func(context.Context, *Request) *Response {
				return &Response{Status: http.StatusOK, Body: make([]byte, test.bodyBytes)}
			})
			c := dialSmall(t, address)
			write(t, c, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			require.Eventually(t, func() bool { return a.BytesWritten() >= uint64(test.bodyBytes) }, 5*time.Second, time.Millisecond)
			began := time.Now()
			require.Eventually(t, func() bool { return a.OpenConnections() == 0 }, test.atMost, time.Millisecond)
			require.GreaterOrEqual(t, time.Since(began), test.atLeast)
			_, err := io.Copy(io.Discard, c)
			require.NoError(t, err, "a reset")
		})
	}
}
