package exchanger

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/connection/reserver"
	"oriolecourse.example/oriolecourse/internal/connection/sender"
)

// The memory of an instance, and what of it the accounts may hold.
const (
	instanceBytes = 284 << 20
	wholeBytes    = 39 << 20
	aheadBytes    = 28 << 20
)

// newBounded returns an Exchanger with the accounts of an instance.
func newBounded() *Exchanger {
	x := New()
	x.Whole = reserver.New(wholeBytes, nil)
	x.Memory = reserver.New(aheadBytes, x.Whole)
	return x
}

// watchHeap returns a function that returns the greatest heap since.
func watchHeap(t *testing.T) func() uint64 {
	t.Helper()
	runtime.GC()
	limit := debug.SetMemoryLimit(instanceBytes * 8 / 10)
	t.Cleanup(func() { debug.SetMemoryLimit(limit) })
	var greatest atomic.Uint64
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		var now runtime.MemStats
		for {
			select {
			case <-ended:
				return
			case <-time.After(2 * time.Millisecond):
				runtime.ReadMemStats(&now)
				greatest.Store(max(greatest.Load(), now.HeapAlloc))
			}
		}
	}()
	return func() uint64 { close(ended); <-done; return greatest.Load() }
}

// Guards against an instance that runs out of memory, with the requests of other clients: targets
// send bytes without end in a head or in a body that is read as a whole, to many requests at once.
// Small responses of other requests arrive meanwhile.
func TestEndlessResponsesShareTheMemory(t *testing.T) {
	const requests = 100
	chunk := "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"
	for name, c := range map[string]struct {
		head, repeated string
		stream         bool
	}{
		"failure in chunks":      {"HTTP/1.1 500 No\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, true},
		"failure without length": {"HTTP/1.1 500 No\r\nId: %s\r\n\r\n", "x", true},
		"failure with length":    {"HTTP/1.1 500 No\r\nId: %s\r\nContent-Length: 16777216\r\n\r\n", "x", true},
		"refusal":                {"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nId: %s\r\n\r\n", "x", true},
		"relayed":                {"HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, false},
		"header line":            {"HTTP/1.1 200 OK\r\nId: %s\r\nX: ", "x", true},
		"other responses":        {"%.0s", completeResponse("other", strings.Repeat("x", 1000)), true},
		"no answer":              {"%.0s", "x", true},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			p := startTarget(t, func(s net.Conn, id string, _ int) bool {
				if strings.HasPrefix(id, "sound") {
					_, err := io.WriteString(s, "HTTP/1.1 500 No\r\nId: "+id+"\r\nContent-Length: 4\r\n\r\nbody")
					return err == nil
				}
				if _, err := fmt.Fprintf(s, c.head, id); err == nil {
					writeEndlessly(s, &written, c.repeated)
				}
				return false
			})
			x, greatest := newBounded(), watchHeap(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			send := func(id string) (*sender.Response, sender.Effect, error) {
				q := newRequest(id, false)
				q.MaxConnections, q.Stream = 2*requests, c.stream
				for {
					response, effect, err := x.Send(ctx, p.address, q)
					if effect != sender.Unsent || ctx.Err() != nil {
						return response, effect, err
					}
					// The target was too busy to accept the connection.
				}
			}
			var group sync.WaitGroup
			for k := range requests {
				group.Go(func() {
					_, effect, err := send(fmt.Sprint("endless", k))
					if complete := err == nil && strings.Contains(c.head, "Content-Length"); !complete && effect != sender.Lost {
						t.Errorf("effect %v, error %v", effect, err)
					}
				})
				group.Go(func() {
					response, _, err := send(fmt.Sprint("sound", k))
					if err != nil || string(response.Body) != "body" {
						t.Errorf("a sound response: %v", err)
					}
				})
			}
			group.Wait()
			require.NoError(t, ctx.Err())
			require.LessOrEqual(t, greatest(), uint64(instanceBytes))
			require.Zero(t, x.Whole.Held()+x.Memory.Held())
		})
	}
}
