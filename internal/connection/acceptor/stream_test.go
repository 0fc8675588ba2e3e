package acceptor

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/connection/reserver"
	"oriolecourse.example/oriolecourse/internal/connection/streamer"
)

// stream returns a response whose rest comes from a reader.
func stream(first string, rest io.Reader, length int64) *Response {
	return &Response{Status: http.StatusOK, Header: http.Header{"Content-Length": {"1"}}, Body: []byte(first), Length: length, Rest: streamer.Start(streamer.Options{
		Source: io.NopCloser(rest), Context: context.Background(), Cancel: func() {}, Memory: reserver.New(1<<20, nil), OnEnd: func(error, time.Duration) {},
	})}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestStreamedResponses guards against a response that is passed on in pieces and arrives
// changed, or that ended early and looks complete to its client: with a length, in chunks,
// and, for HTTP/1.0, without either.
func TestStreamedResponses(t *testing.T) {
	text := strings.Repeat("large body\n", 200_000)
	for name, c := range map[string]struct {
		version string
		known   bool
	}{"length": {"1.1", true}, "chunks": {"1.1", false}, "HTTP/1.0": {"1.0", false}, "HTTP/1.0 with length": {"1.0", true}} {
		for _, first := range []string{"", "first "} {
			for _, complete := range []bool{true, false} {
				t.Run(fmt.Sprint(name, first, complete), func(t *testing.T) {
					_, address := startAcceptor(t, func(context.Context, *Request) *Response {
						rest, length := io.Reader(strings.NewReader(text)), int64(-1)
						if c.known {
							length = int64(len(first) + len(text))
						}
						if !complete {
							rest = io.MultiReader(strings.NewReader(text[:len(text)/2]), failing{})
						}
						return stream(first, rest, length)
					})
					conn, r := dial(t, address)
					write(t, conn, "GET / HTTP/"+c.version+"\r\nHost: h\r\n\r\n")
					response, err := http.ReadResponse(r, nil)
					require.NoError(t, err)
					body, err := io.ReadAll(response.Body)
					if !complete {
						require.Error(t, err)
						return
					}
					require.NoError(t, err)
					require.True(t, first+text == string(body), "the body is changed")
					if c.version == "1.1" {
						// The connection carries the next request.
						write(t, conn, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n")
						response, err := http.ReadResponse(r, &http.Request{Method: http.MethodHead})
						require.NoError(t, err)
						require.Equal(t, http.StatusOK, response.StatusCode)
					}
				})
			}
		}
	}
}

// TestAStreamKeepsTheOrder guards against a pipelined response that is written between the
// pieces of the one before it, and against a body of a stream that HEAD gets.
func TestAStreamKeepsTheOrder(t *testing.T) {
	text := strings.Repeat("x", 1<<20)
	_, address := startAcceptor(t, func(ctx context.Context, q *Request) *Response {
		if q.RequestURI == "/large" {
			return stream("", strings.NewReader(text), -1)
		}
		return echo(ctx, q)
	})
	c, r := dial(t, address)
	write(t, c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\nHEAD /large HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	_, body := readResponse(t, r)
	require.Equal(t, text, body)
	_, body = readResponse(t, r)
	require.Equal(t, "GET /a ", body)
	_, err := http.ReadResponse(r, &http.Request{Method: http.MethodHead})
	require.NoError(t, err)
	_, body = readResponse(t, r)
	require.Equal(t, "GET /b ", body)
}

// TestABrokenResponseInTheQueue guards against a connection that is closed, with requests
// pending on it, for a response that broke off before its first byte was written.
func TestABrokenResponseInTheQueue(t *testing.T) {
	broken := make(chan struct{})
	_, address := startAcceptor(t, func(ctx context.Context, q *Request) *Response {
		if q.RequestURI != "/broken" {
			<-broken
			return echo(ctx, q)
		}
		response := stream("first ", failing{}, -1)
		<-response.Rest.Failed()
		close(broken)
		return response
	})
	c, r := dial(t, address)
	write(t, c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /broken HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	for _, status := range []int{http.StatusOK, http.StatusBadGateway, http.StatusOK} {
		response, _ := readResponse(t, r)
		require.Equal(t, status, response.StatusCode)
	}
}

// TestDrainingWaitsForAStream guards against a stop that cuts off a response that is being
// passed on.
func TestDrainingWaitsForAStream(t *testing.T) {
	source, target := io.Pipe()
	a, address := startAcceptor(t, func(context.Context, *Request) *Response { return stream("first ", source, -1) })
	c, r := dial(t, address)
	write(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	a.StartDraining()
	a.StopReading(time.Now())
	require.Equal(t, 1, a.PendingRequests())
	_, err = target.Write([]byte("rest"))
	require.NoError(t, err)
	target.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "first rest", string(body))
	require.Eventually(t, func() bool { return a.PendingRequests() == 0 }, 5*time.Second, time.Millisecond)
}

// TestFullMemoryRefusesRequests guards against requests that are accepted although their
// responses find no memory, and against memory that a response keeps after it was written.
func TestFullMemoryRefusesRequests(t *testing.T) {
	m := reserver.New(1000, nil)
	a := &Acceptor{
		Handle: func(context.Context, *Request) *Response {
			return &Response{Status: 200, Body: bytes.Repeat([]byte("x"), 2000)}
		},
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 512, MaxBodyBytes: 2048, HeaderTimeout: time.Second, IdleTimeout: time.Second}
		},
		MaxBodyMemory: 1000, Memory: m, MaxConnections: 8,
	}
	address := run(t, a)
	get := func() int {
		c, r := dial(t, address)
		write(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, _ := readResponse(t, r)
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, get())
	require.Eventually(t, func() bool { return m.Held() == 0 }, 5*time.Second, time.Millisecond)
	m.Force(1000)
	require.Equal(t, http.StatusServiceUnavailable, get())
	m.Release(1000)
	require.Equal(t, http.StatusOK, get())
}
