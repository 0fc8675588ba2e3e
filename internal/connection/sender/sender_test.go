package sender

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveText listens and answers the first request of each connection with the
// text, which may be an incomplete response, and closes the connection.
func serveText(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, q.Body)
			}
			_, _ = io.WriteString(c, text)
			c.Close()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestEffect guards against wrong effects. An incomplete response that counts as
// Done reaches the client, and a request that counts as NotExecuted although the
// target executed it is retried and runs twice.
func TestEffect(t *testing.T) {
	tests := []struct {
		name     string
		response string
		effect   Effect
		body     string
	}{
		{"complete, with a length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", Done, "whole"},
		{"complete, in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", Done, "whole"},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", Done, ""},
		{"incomplete, with a length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole", Lost, ""},
		{"incomplete, in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", Lost, ""},
		{"neither length nor chunks", "HTTP/1.1 200 OK\r\n\r\nwhole", Lost, ""},
		{"incomplete header", "HTTP/1.1 200 OK\r\nContent-", Lost, ""},
		{"no response", "", Lost, ""},
		{"too large, with a length", "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n01234567890", Lost, ""},
		{"too large, in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n", Lost, ""},
		{"upgrade", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nwhole", Lost, ""},
		{"status below 100", "HTTP/1.1 099 No\r\nContent-Length: 0\r\n\r\n", Lost, ""},
		{"shed", "HTTP/1.1 503 No\r\nTarget-State: shed\r\nContent-Length: 0\r\n\r\n", NotExecuted, ""},
		{"draining", "HTTP/1.1 503 No\r\nTarget-State: draining\r\nContent-Length: 0\r\n\r\n", NotExecuted, ""},
		{"failed", "HTTP/1.1 503 No\r\nTarget-State: ready\r\nContent-Length: 0\r\n\r\n", Done, ""},
		{"done while draining", "HTTP/1.1 200 OK\r\nTarget-State: draining\r\nContent-Length: 2\r\n\r\nok", Done, "ok"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := &Sender{DialTimeout: time.Second}
			response, effect, err := s.Send(context.Background(), serveText(t, c.response), Request{Method: http.MethodPost, Path: "/x", Body: []byte("b"), MaxResponseBytes: 10})
			require.Equal(t, c.effect, effect)
			require.Equal(t, c.effect == Lost, err != nil)
			if err == nil {
				require.Equal(t, c.body, string(response.Body))
			}
		})
	}
}

func TestUnsentWhenConnectionIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.Close()
	s := &Sender{DialTimeout: time.Second}
	_, effect, err := s.Send(context.Background(), netip.MustParseAddrPort(l.Addr().String()), Request{Method: http.MethodGet, Path: "/"})
	require.Error(t, err)
	require.Equal(t, Unsent, effect)
}

// closeOnSecondRequest serves the first request of each connection and closes the
// connection on the second one, like a target whose idle timeout has just
// expired. It counts the requests in runs.
func closeOnSecondRequest(t *testing.T, runs *atomic.Int64) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for n := range 2 {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					runs.Add(1)
					if n == 0 {
						fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// idempotencyKeys are the header fields that make http.Transport resend requests.
var idempotencyKeys = http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}

// TestSendsOnce guards against requests that run twice. When a target closes a
// reused connection, http.Transport resends requests that it takes for idempotent.
func TestSendsOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			var runs atomic.Int64
			target := closeOnSecondRequest(t, &runs)
			s := &Sender{DialTimeout: time.Second}
			r := Request{Method: method, Path: "/", Header: idempotencyKeys}
			_, effect, err := s.Send(context.Background(), target, r)
			require.NoError(t, err)
			require.Equal(t, Done, effect)
			_, effect, _ = s.Send(context.Background(), target, r)
			require.Equal(t, Lost, effect)
			require.Equal(t, int64(2), runs.Load(), "each request reaches the target once")
		})
	}
}

// TestEmptyPostHasLength guards against an empty body that is sent in chunks,
// which some targets refuse.
func TestEmptyPostHasLength(t *testing.T) {
	lengths := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		lengths <- q.Header.Get("Content-Length") + fmt.Sprint(q.TransferEncoding) + q.Header.Get("Idempotency-Key")
		w.Header().Set("Content-Length", "0")
	}))
	defer server.Close()
	s := &Sender{DialTimeout: time.Second}
	_, _, err := s.Send(context.Background(), netip.MustParseAddrPort(server.Listener.Addr().String()), Request{Method: http.MethodPost, Path: "/", Header: idempotencyKeys})
	require.NoError(t, err)
	require.Equal(t, "0[]k", <-lengths)
}

// TestPlainTransportSendsTwice shows that TestSendsOnce detects the fault: with a
// plain http.Transport, the second request reaches the target twice.
func TestPlainTransportSendsTwice(t *testing.T) {
	var runs atomic.Int64
	target := closeOnSecondRequest(t, &runs)
	transport := &http.Transport{}
	for range 2 {
		q, err := http.NewRequest(http.MethodPost, "http://"+target.String()+"/", nil)
		require.NoError(t, err)
		q.Header = idempotencyKeys
		response, err := transport.RoundTrip(q)
		require.NoError(t, err)
		response.Body.Close()
	}
	require.Equal(t, int64(3), runs.Load(), "the transport sends the second request twice")
}

// TestShareBoundsConnections guards against more connections than the share, also
// right after the share was lowered. It counts on the side of the sender, because
// a target may notice a closed connection later than the one that replaces it.
func TestShareBoundsConnections(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		w.Header().Set("Content-Length", "0")
	}))
	defer server.Close()
	target := netip.MustParseAddrPort(server.Listener.Addr().String())
	for _, shares := range [][]int{{7, 3}, {3, 7}} {
		var share, exceeded, dials atomic.Int64
		s := &Sender{DialTimeout: time.Second}
		s.OnConnect = func(target netip.AddrPort) {
			dials.Add(1)
			if int64(s.OpenConnections(target)) > share.Load() {
				exceeded.Add(1)
			}
		}
		for _, n := range shares {
			share.Store(int64(n))
			s.SetConnectionShare(target, n)
			var group sync.WaitGroup
			for range 40 {
				group.Go(func() {
					_, _, _ = s.Send(context.Background(), target, Request{Method: http.MethodGet, Path: "/", MaxResponseBytes: 10})
				})
			}
			group.Wait()
		}
		require.Positive(t, dials.Load())
		require.Zero(t, exceeded.Load(), "no connection exceeds the share")
	}
}

// TestRetainKeepsCount guards against a pool that is removed while a request still
// runs on its connection. If the target is used again, a new pool would not count
// that connection against the share.
func TestRetainKeepsCount(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	}))
	defer server.Close()
	defer finish()
	target := netip.MustParseAddrPort(server.Listener.Addr().String())
	s := &Sender{DialTimeout: time.Second}
	s.SetConnectionShare(target, 1)
	effect := make(chan Effect, 1)
	q := Request{Method: http.MethodGet, Path: "/", MaxResponseBytes: 10}
	go func() {
		_, e, _ := s.Send(context.Background(), target, q)
		effect <- e
	}()
	<-started
	none := func(netip.AddrPort) bool { return false }
	s.Retain(none)
	s.SetConnectionShare(target, 2)
	require.Equal(t, 1, s.OpenConnections(target))
	finish()
	require.Equal(t, Done, <-effect)

	require.Eventually(t, func() bool {
		s.Retain(none)
		_, kept := s.pools.Load(target)
		return !kept
	}, time.Second, time.Millisecond, "the pool is removed once its last connection is closed")
}

// A response that stops at any byte must not be taken for a complete one with an empty or short
// body: in the status line, in a field, between lines, in a chunk's size, in the trailer.
func TestResponseThatStopsIsLost(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 503 No\r\nTarget-State: shed\r\nContent-Length: 3\r\n\r\nno!",
	} {
		for length := range len(whole) {
			s := &Sender{DialTimeout: time.Second}
			_, effect, err := s.Send(t.Context(), serveText(t, whole[:length]), Request{Method: http.MethodPost, Path: "/", MaxResponseBytes: 1 << 20})
			if err == nil || effect != Lost {
				t.Errorf("%q: effect %v, error %v, want Lost and an error", whole[:length], effect, err)
			}
		}
	}
}
