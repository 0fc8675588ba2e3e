package exchanger

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
)

// Guards against a response that stops at any byte, with a close or a reset of the connection,
// and is taken for a complete one with an empty or short body: in the status line, in the name
// or the value of a field, between lines, in the body, in a chunk's size, in the trailer.
func TestResponseThatStopsIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nUpstream-Signature: s\r\nId: %s\r\n"
	for name, response := range map[string]string{
		"length":      head + "Content-Length: 12\r\n\r\nhello, world",
		"empty":       head + "Content-Length: 0\r\n\r\n",
		"chunks":      head + "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n7\r\n, world\r\n0\r\nA: b\r\nC: d\r\n\r\n",
		"refusal":     "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nId: %s\r\nContent-Length: 3\r\n\r\nno!",
		"interim":     "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"bare breaks": "HTTP/1.1 200 OK\nId: %s\nContent-Length: 2\n\nok",
		"no status":   "HTTP/1.1 204 No\r\nId: %s\r\n\r\n",
	} {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, resets), func(t *testing.T) {
				t.Parallel()
				whole := fmt.Sprintf(response, "1")
				for length := range len(whole) {
					p := startTarget(t, func(c net.Conn, _ string, _ int) bool {
						_, _ = io.WriteString(c, whole[:length])
						if resets {
							// Lets the bytes arrive: a reset discards those that were not read.
							time.Sleep(time.Millisecond)
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					for _, stream := range []bool{false, true} {
						q := newRequest("1", !stream)
						q.Stream = stream
						_, effect, err := New().Send(t.Context(), p.address, q)
						require.Error(t, err, "%q", whole[:length])
						require.Equal(t, sender.Lost, effect, "%q", whole[:length])
					}
				}
			})
		}
	}
}

// Guards against a large response that stops within its last chunks or its trailer, after its
// first part was passed on, and is passed on as complete.
func TestStreamThatStopsIsNotComplete(t *testing.T) {
	piece := strings.Repeat("x", firstPartBytes+1000)
	tail := "\r\n5;x=y\r\nhello\r\n0\r\nA: b\r\n\r\n"
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s%s", len(piece), piece, tail)
	for missing := 1; missing <= len(tail); missing++ {
		p := startTarget(t, func(c net.Conn, _ string, _ int) bool {
			_, _ = io.WriteString(c, whole[:len(whole)-missing])
			return false
		})
		q := newRequest("1", false)
		q.Stream = true
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		response, _, err := New().Send(ctx, p.address, q)
		require.NoError(t, err)
		require.NotNil(t, response.Rest)
		_, err = io.Copy(io.Discard, response.Rest)
		require.Error(t, err, "%q", whole[len(whole)-len(tail):len(whole)-missing])
		require.NoError(t, response.Rest.Close())
		cancel()
	}
}
