package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startAcceptor runs an acceptor on loopback.
func startAcceptor(t *testing.T, handle func(ctx context.Context, q *Request) *Response) (*Acceptor, string) {
	t.Helper()
	a := &Acceptor{
		Handle: handle,
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 1024, MaxBodyBytes: 2048, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Second}
		},
		MaxBodyMemory:  4096,
		MaxConnections: 8,
	}
	return a, run(t, a)
}

// run runs an acceptor until the end of the test and returns its address.
func run(t *testing.T, a *Acceptor) string {
	t.Helper()
	a.Prepare()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go a.Run(l)
	t.Cleanup(func() { l.Close(); a.Stop() })
	return l.Addr().String()
}

// echo responds with the method, URI and body of the request.
func echo(_ context.Context, q *Request) *Response {
	return &Response{Status: http.StatusOK, Header: http.Header{"X-Id": {q.Header.Get("X-Id")}}, Body: []byte(q.Method + " " + q.RequestURI + " " + string(q.Body))}
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// TestResponsesKeepTheOrderOfConcurrentRequests guards against responses that are
// matched to the wrong pipelined request because a later request ends first, and
// against requests that wait for earlier ones.
func TestResponsesKeepTheOrderOfConcurrentRequests(t *testing.T) {
	var running, maxRunning atomic.Int32
	_, address := startAcceptor(t, func(ctx context.Context, q *Request) *Response {
		for n := running.Add(1); ; {
			if before := maxRunning.Load(); n <= before || maxRunning.CompareAndSwap(before, n) {
				break
			}
		}
		defer running.Add(-1)
		if q.RequestURI == "/0" {
			time.Sleep(200 * time.Millisecond)
		}
		return echo(ctx, q)
	})
	c, r := dial(t, address)
	for k := range 5 {
		write(t, c, fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", k))
	}
	for k := range 5 {
		_, body := readResponse(t, r)
		require.Equal(t, fmt.Sprintf("GET /%d ", k), body)
	}
	require.Greater(t, maxRunning.Load(), int32(1), "the pipelined requests did not run concurrently")
}

// TestBodies guards against body bytes that are taken for the next request of the
// connection: bodies with a length, in chunks, with a trailer, and HEAD requests.
func TestBodies(t *testing.T) {
	_, address := startAcceptor(t, echo)
	c, r := dial(t, address)
	write(t, c, "POST /a?b=%20 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
	_, body := readResponse(t, r)
	require.Equal(t, "POST /a?b=%20 hello", body)
	write(t, c, "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	_, body = readResponse(t, r)
	require.Equal(t, "POST /c abcde", body)
	write(t, c, "\r\nPOST /t HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\nA: b\r\n\r\n")
	_, body = readResponse(t, r)
	require.Equal(t, "POST /t xy", body)
	write(t, c, "HEAD /d HTTP/1.1\r\nHost: h\r\n\r\nGET /e HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(r, &http.Request{Method: http.MethodHead})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	_, body = readResponse(t, r)
	require.Equal(t, "GET /e ", body)
}

// TestTruncatedBodyIsNotHandled guards against a request whose client left in the middle of
// a chunk and that reaches a target with a part of its body.
func TestTruncatedBodyIsNotHandled(t *testing.T) {
	for _, body := range []string{"5\r\nab", "2\r\nab\r\n", "2\r\nab\r\n0\r\n"} {
		handled := atomic.Int32{}
		_, address := startAcceptor(t, func(ctx context.Context, q *Request) *Response {
			handled.Add(1)
			return echo(ctx, q)
		})
		c, r := dial(t, address)
		write(t, c, "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+body)
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		_, err := r.ReadByte()
		require.Error(t, err, "no response")
		require.Zero(t, handled.Load(), "%q", body)
	}
}

// TestInvalidRequestsAreRefused guards against the handling of malformed, too large
// and too slow requests. Each must get an error status and a closed connection.
func TestInvalidRequestsAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"not HTTP":           {"\x16\x03\x01 garbage\r\n\r\n", http.StatusBadRequest},
		"long header":        {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"long body":          {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", http.StatusRequestEntityTooLarge},
		"long chunks":        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" + strings.Repeat("x", 4096) + "\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"slow header":        {"GET / HTTP/1.1\r\nHost: h\r\n", http.StatusRequestTimeout},
		"two lengths":        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", http.StatusBadRequest},
		"signed length":      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", http.StatusBadRequest},
		"unknown encoding":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		"chunks in HTTP/1.0": {"POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", http.StatusBadRequest},
		"malformed chunk":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest},
		"space before colon": {"GET / HTTP/1.1\r\nHost : h\r\n\r\n", http.StatusBadRequest},
		"other protocol":     {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", http.StatusHTTPVersionNotSupported},
	} {
		t.Run(name, func(t *testing.T) {
			handled := atomic.Int32{}
			_, address := startAcceptor(t, func(ctx context.Context, q *Request) *Response {
				handled.Add(1)
				return echo(ctx, q)
			})
			s, r := dial(t, address)
			write(t, s, c.text)
			response, _ := readResponse(t, r)
			require.Equal(t, c.status, response.StatusCode)
			require.True(t, response.Close)
			require.Zero(t, handled.Load())
			_, err := r.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// TestNothingIsSmuggled guards against request smuggling: a request with an
// ambiguous body length or an unknown encoding hides a second request in its body.
// Neither may be handled.
func TestNothingIsSmuggled(t *testing.T) {
	handled := atomic.Int32{}
	_, address := startAcceptor(t, func(ctx context.Context, q *Request) *Response {
		handled.Add(1)
		return echo(ctx, q)
	})
	for _, fields := range []string{
		"Content-Length: 41\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 41",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: xchunked",
	} {
		c, r := dial(t, address)
		write(t, c, "POST /a HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
		response, _ := readResponse(t, r)
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
		require.True(t, response.Close)
	}
	require.Zero(t, handled.Load())
}

// TestMemoryForBodiesIsBounded guards against running out of memory when many
// clients send large bodies at once.
func TestMemoryForBodiesIsBounded(t *testing.T) {
	release := make(chan struct{})
	_, address := startAcceptor(t, func(ctx context.Context, q *Request) *Response {
		<-release
		return echo(ctx, q)
	})
	for range 2 {
		c, _ := dial(t, address)
		write(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"+strings.Repeat("x", 2000))
	}
	time.Sleep(50 * time.Millisecond)
	c, r := dial(t, address)
	write(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"+strings.Repeat("x", 2000))
	response, _ := readResponse(t, r)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	close(release)
}

// TestClosedConnectionCancelsRequest guards against work on requests whose client
// has closed the connection.
func TestClosedConnectionCancelsRequest(t *testing.T) {
	canceled := make(chan struct{})
	_, address := startAcceptor(t, func(ctx context.Context, q *Request) *Response {
		<-ctx.Done()
		close(canceled)
		return echo(ctx, q)
	})
	c, _ := dial(t, address)
	write(t, c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	c.Close()
	select {
	case <-canceled:
	case <-time.After(5 * time.Second):
		t.Fatal("the request continues after its client closed the connection")
	}
}

// TestDrainingCutsNoPipelinedRequest guards against a draining acceptor that closes
// a connection while pipelined requests still wait for their responses.
func TestDrainingCutsNoPipelinedRequest(t *testing.T) {
	release := make(chan struct{})
	a, address := startAcceptor(t, func(ctx context.Context, q *Request) *Response {
		<-release
		return echo(ctx, q)
	})
	c, r := dial(t, address)
	write(t, c, strings.Repeat("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 3))
	require.Eventually(t, func() bool { return a.PendingRequests() >= 3 }, 5*time.Second, time.Millisecond)
	a.StartDraining()
	close(release)
	for k := range 3 {
		response, _ := readResponse(t, r)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, k == 2, response.Close)
	}
	_, err := r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// TestCloseIdle guards against idle connections that stay open until their timeout
// and delay a stop.
func TestCloseIdle(t *testing.T) {
	a, address := startAcceptor(t, echo)
	_, r := dial(t, address)
	require.Eventually(t, func() bool { return a.OpenConnections() == 1 }, 5*time.Second, time.Millisecond)
	a.StartDraining()
	a.StopReading(time.Now())
	_, err := r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// TestNothingIsReadAfterStopReading guards against a request that is read late in a stop: it
// arrives behind one that still runs, is passed on, and its connection closes in the midst of
// it. A request that is not read may be sent elsewhere, which the last response tells.
func TestNothingIsReadAfterStopReading(t *testing.T) {
	for name, pending := range map[string]int{"behind one request": 1, "behind several requests": 3} {
		t.Run(name, func(t *testing.T) {
			released, handled := map[string]chan struct{}{}, atomic.Int32{}
			for k := range pending {
				released[fmt.Sprintf("/%d", k)] = make(chan struct{})
			}
			a, address := startAcceptor(t, func(ctx context.Context, q *Request) *Response {
				handled.Add(1)
				if c := released[q.RequestURI]; c != nil {
					<-c
				}
				return echo(ctx, q)
			})
			c, r := dial(t, address)
			for k := range pending {
				write(t, c, fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", k))
			}
			require.Eventually(t, func() bool { return int(handled.Load()) == pending }, 5*time.Second, time.Millisecond)
			a.StartDraining()
			a.StopReading(time.Now())
			write(t, c, "GET /late HTTP/1.1\r\nHost: h\r\n\r\nPOST /late HTTP/1.1\r\nHost: h\r\nContent-Le")
			// Time in which an acceptor that reads on would begin the late request.
			time.Sleep(100 * time.Millisecond)
			for k := range pending {
				close(released[fmt.Sprintf("/%d", k)])
				response, body := readResponse(t, r)
				require.Equal(t, fmt.Sprintf("GET /%d ", k), body)
				require.Equal(t, k == pending-1, response.Close)
				write(t, c, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
				time.Sleep(20 * time.Millisecond)
			}
			_, err := r.ReadByte()
			require.ErrorIs(t, err, io.EOF, "the connection is reset, which may destroy the last response")
			require.EqualValues(t, pending, handled.Load())
		})
	}
}

// TestRequestThatHasBegunIsReadAfterStopReading guards against a request that loses its
// connection without a response because its head came before the end of reading and the rest
// after it.
func TestRequestThatHasBegunIsReadAfterStopReading(t *testing.T) {
	const text = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
	for _, read := range []int{1, 20, len(text) - 5, len(text) - 1} {
		a, address := startAcceptor(t, echo)
		c, r := dial(t, address)
		write(t, c, text[:read])
		require.Eventually(t, func() bool { return a.PendingRequests() == 1 }, 5*time.Second, time.Millisecond)
		a.StartDraining()
		a.StopReading(time.Now())
		write(t, c, text[read:]+"GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
		response, body := readResponse(t, r)
		require.Equal(t, "POST /a hello", body)
		require.True(t, response.Close)
		_, err := r.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
}

// TestRequestThatStaysIncompleteIsRefusedAfterStopReading guards against an upload that goes on
// until the process ends and whose client is told nothing then: that it has not run, and may be
// sent elsewhere.
func TestRequestThatStaysIncompleteIsRefusedAfterStopReading(t *testing.T) {
	handled := atomic.Int32{}
	a, address := startAcceptor(t, func(ctx context.Context, q *Request) *Response {
		handled.Add(1)
		return echo(ctx, q)
	})
	c, r := dial(t, address)
	// Less than bodyTimeout.
	require.NoError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
	write(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe")
	require.Eventually(t, func() bool { return a.PendingRequests() == 1 }, 5*time.Second, time.Millisecond)
	a.StopReading(time.Now())
	response, _ := readResponse(t, r)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.True(t, response.Close)
	require.Zero(t, handled.Load())
}

// TestConnectionAcceptedAfterStopReadingIsNotRead guards against requests of a connection that
// was accepted while reading was ended.
func TestConnectionAcceptedAfterStopReadingIsNotRead(t *testing.T) {
	handled := atomic.Int32{}
	a, address := startAcceptor(t, func(ctx context.Context, q *Request) *Response {
		handled.Add(1)
		return echo(ctx, q)
	})
	a.StopReading(time.Now())
	c, r := dial(t, address)
	// The connection may be closed already.
	_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := r.ReadByte()
	require.Error(t, err)
	require.Zero(t, handled.Load())
}

// TestClientThatLeavesAfterTheLastRequestCancelsIt guards against a connection that is no longer
// read once an earlier response was written: a client that leaves is not noticed, and its last
// request runs on for nobody. What the client sends meanwhile stays unread, so that closing the
// connection resets it.
func TestClientThatLeavesAfterTheLastRequestCancelsIt(t *testing.T) {
	release, canceled, ended := make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	handled := atomic.Int32{}
	a, address := startAcceptor(t, func(ctx context.Context, q *Request) *Response {
		handled.Add(1)
		if q.RequestURI == "/first" {
			<-release
			return echo(ctx, q)
		}
		select {
		case <-ctx.Done():
			close(canceled)
		case <-ended:
		}
		return echo(ctx, q)
	})
	t.Cleanup(func() { close(ended) })
	c, r := dial(t, address)
	write(t, c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /last HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { return handled.Load() == 2 }, 5*time.Second, time.Millisecond)
	a.StopReading(time.Now())
	// Time in which the acceptor notices that it reads no further request.
	time.Sleep(50 * time.Millisecond)
	release <- struct{}{}
	readResponse(t, r)
	require.Eventually(t, func() bool { return a.PendingRequests() == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	select {
	case <-canceled:
	case <-time.After(5 * time.Second):
		t.Fatal("the request continues after its client closed the connection")
	}
}

// TestIdleTimeoutClosesConnection guards against connections that stay open without
// requests.
func TestIdleTimeoutClosesConnection(t *testing.T) {
	_, address := startAcceptor(t, echo)
	c, r := dial(t, address)
	write(t, c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	readResponse(t, r)
	_, err := r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// FuzzRequestBytes feeds a connection arbitrary bytes. It guards against panics and
// against connections that never end.
func FuzzRequestBytes(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\nGET"))
	f.Fuzz(func(t *testing.T, text []byte) {
		client, server := net.Pipe()
		a := &Acceptor{Handle: echo, Limits: func() Limits {
			return Limits{MaxHeaderBytes: 512, MaxBodyBytes: 512, HeaderTimeout: time.Second, IdleTimeout: time.Second}
		}, MaxBodyMemory: 1 << 20, MaxConnections: 1}
		a.Prepare()
		done := make(chan struct{})
		go func() { newConn(a, server).serve(); close(done) }()
		go func() { _, _ = client.Write(text); client.Close() }()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		select {
		case <-done:
		case <-time.After(20 * time.Second):
			t.Fatal("the connection is still open after 20 s")
		}
	})
}
