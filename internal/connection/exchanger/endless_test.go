package exchanger

import (
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
)

// writeEndlessly writes a text again and again until the connection is closed.
func writeEndlessly(c net.Conn, written *atomic.Int64, text string) {
	block := strings.Repeat(text, 1+(64<<10)/len(text))
	for {
		n, err := io.WriteString(c, block)
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// greatestBuffer returns the size to which the kernel lets a socket buffer of a kind grow.
func greatestBuffer(t *testing.T, kind string) int64 {
	text, err := os.ReadFile("/proc/sys/net/ipv4/" + kind)
	require.NoError(t, err)
	sizes := strings.Fields(string(text))
	n, err := strconv.ParseInt(sizes[len(sizes)-1], 10, 64)
	require.NoError(t, err)
	return n
}

// TestEndlessResponses guards against a target that sends bytes without end in place of
// a response: an unbounded header alone fills the memory of the process. Each exchange
// ends with an error and a closed connection, and the next request is served.
func TestEndlessResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	// maxReceived bounds the bytes that are read, maxHeld what the socket buffers of the
	// kernel hold besides.
	const maxHeadReceived, maxBodyReceived = 2 << 20, maxResponseBytes + 1<<20
	// A growing buffer is allocated several times before it reaches its size.
	const maxHeadAllocated, maxBodyAllocated = 128 << 20, 256 << 20
	maxHeld := greatestBuffer(t, "tcp_rmem") + greatestBuffer(t, "tcp_wmem")
	for name, c := range map[string]struct {
		head, repeated string
		maxReceived    int64
	}{
		"status line":          {"HTTP/1.1 200 ", "x", maxHeadReceived},
		"empty lines":          {"", "\r\n", maxHeadReceived},
		"header line":          {ok + "X: ", "x", maxHeadReceived},
		"header lines":         {ok, "X: y\r\n", maxHeadReceived},
		"chunked body":         {ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n", maxBodyReceived},
		"body without length":  {ok + "\r\n", "x", maxBodyReceived},
		"greatest length":      {ok + "Content-Length: 9223372036854775807\r\n\r\n", "x", maxHeadReceived},
		"chunk line":           {ok + "Transfer-Encoding: chunked\r\n\r\n", "0", maxHeadReceived},
		"chunk extension":      {ok + "Transfer-Encoding: chunked\r\n\r\n1;x=", "y", maxHeadReceived},
		"chunk extensions":     {ok + "Transfer-Encoding: chunked\r\n\r\n", "1;x=" + strings.Repeat("y", 1000) + "\r\nz\r\n", maxHeadReceived},
		"trailer line":         {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "y", maxHeadReceived},
		"trailer lines":        {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", maxHeadReceived},
		"interim responses":    {"", "HTTP/1.1 100 Continue\r\n\r\n", maxHeadReceived},
		"interim header lines": {"HTTP/1.1 103 Early Hints\r\n", "Link: y\r\n", maxHeadReceived},
		"other responses":      {"", completeResponse("other", "wrong"), maxHeadReceived},
		"body of another one":  {ok + "Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n", maxHeadReceived},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			ended := make(chan struct{})
			p := startTarget(t, func(s net.Conn, id string, _ int) bool {
				if id != "endless" {
					_, err := io.WriteString(s, completeResponse(id, "body"))
					return err == nil
				}
				defer close(ended)
				if _, err := io.WriteString(s, c.head); err != nil {
					return false
				}
				writeEndlessly(s, &written, c.repeated)
				return false
			})
			x := New()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, effect, err := send(x, p, "endless", false)
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.Equal(t, sender.Lost, effect)
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				require.Fail(t, "the connection stays open")
			}
			require.LessOrEqual(t, written.Load(), c.maxReceived+maxHeld)
			maxAllocated := maxHeadAllocated
			if c.maxReceived == maxBodyReceived {
				maxAllocated = maxBodyAllocated
			}
			require.LessOrEqual(t, int(after.TotalAlloc-before.TotalAlloc), maxAllocated)
			require.Zero(t, x.OpenConnections())
			for k := range 2 {
				response, _, err := send(x, p, fmt.Sprint(k), true)
				require.NoError(t, err)
				require.Equal(t, "body", string(response.Body))
			}
		})
	}
}
