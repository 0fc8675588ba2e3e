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

// scripted listens and answers each connection's first request with a text, as a
// target that breaks off does.
func scripted(t *testing.T, text string) netip.AddrPort {
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

func TestEffect(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		effect Effect
		body   string
	}{
		{"whole by length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", Done, "whole"},
		{"whole by chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", Done, "whole"},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", Done, ""},
		{"breaks off by length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole", Lost, ""},
		{"breaks off by chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", Lost, ""},
		{"no length at all", "HTTP/1.1 200 OK\r\n\r\nwhole", Lost, ""},
		{"breaks off in the header", "HTTP/1.1 200 OK\r\nContent-", Lost, ""},
		{"no answer", "", Lost, ""},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n01234567890", Lost, ""},
		{"too large by chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n", Lost, ""},
		{"upgrade", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nwhole", Lost, ""},
		{"status that cannot be passed on", "HTTP/1.1 099 No\r\nContent-Length: 0\r\n\r\n", Lost, ""},
		{"shed", "HTTP/1.1 503 No\r\nTarget-State: shed\r\nContent-Length: 0\r\n\r\n", NotExecuted, ""},
		{"draining", "HTTP/1.1 503 No\r\nTarget-State: draining\r\nContent-Length: 0\r\n\r\n", NotExecuted, ""},
		{"failed", "HTTP/1.1 503 No\r\nTarget-State: ready\r\nContent-Length: 0\r\n\r\n", Done, ""},
		{"done while draining", "HTTP/1.1 200 OK\r\nTarget-State: draining\r\nContent-Length: 2\r\n\r\nok", Done, "ok"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := &Sender{DialTimeout: time.Second}
			a, effect, err := s.Send(context.Background(), scripted(t, c.answer), Request{Method: http.MethodPost, Path: "/x", Body: []byte("b"), MaxResponseBytes: 10})
			require.Equal(t, c.effect, effect)
			require.Equal(t, c.effect == Lost, err != nil)
			if err == nil {
				require.Equal(t, c.body, string(a.Body))
			}
		})
	}
}

func TestUnsentWhenNobodyListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.Close()
	s := &Sender{DialTimeout: time.Second}
	_, effect, err := s.Send(context.Background(), netip.MustParseAddrPort(l.Addr().String()), Request{Method: http.MethodGet, Path: "/"})
	require.Error(t, err)
	require.Equal(t, Unsent, effect)
}

// dropSecond serves the first request of each connection and closes the
// connection on the second one, as a target does whose keep-alive has run out.
func dropSecond(t *testing.T, runs *atomic.Int64) netip.AddrPort {
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

// keyed is the header that makes http.Transport repeat requests.
var keyed = http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}

func TestSendsOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			var runs atomic.Int64
			target := dropSecond(t, &runs)
			s := &Sender{DialTimeout: time.Second}
			r := Request{Method: method, Path: "/", Header: keyed}
			_, effect, err := s.Send(context.Background(), target, r)
			require.NoError(t, err)
			require.Equal(t, Done, effect)
			_, effect, _ = s.Send(context.Background(), target, r)
			require.Equal(t, Lost, effect)
			require.Equal(t, int64(2), runs.Load(), "each request reaches the target once")
		})
	}
}

func TestEmptyPostHasLength(t *testing.T) {
	lengths := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		lengths <- q.Header.Get("Content-Length") + fmt.Sprint(q.TransferEncoding) + q.Header.Get("Idempotency-Key")
		w.Header().Set("Content-Length", "0")
	}))
	defer server.Close()
	s := &Sender{DialTimeout: time.Second}
	_, _, err := s.Send(context.Background(), netip.MustParseAddrPort(server.Listener.Addr().String()), Request{Method: http.MethodPost, Path: "/", Header: keyed})
	require.NoError(t, err)
	require.Equal(t, "0[]k", <-lengths)
}

// TestSendsOnceBroken shows that the check above sees the fault: the same
// requests sent by a plain transport reach the target once too often.
func TestSendsOnceBroken(t *testing.T) {
	var runs atomic.Int64
	target := dropSecond(t, &runs)
	transport := &http.Transport{}
	for range 2 {
		q, err := http.NewRequest(http.MethodPost, "http://"+target.String()+"/", nil)
		require.NoError(t, err)
		q.Header = keyed
		p, err := transport.RoundTrip(q)
		require.NoError(t, err)
		p.Body.Close()
	}
	require.Equal(t, int64(3), runs.Load(), "the second request was repeated")
}

// TestShareBoundsConnections counts at this end: a target learns of a closed
// connection later than of the one that takes its place.
func TestShareBoundsConnections(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		w.Header().Set("Content-Length", "0")
	}))
	defer server.Close()
	target := netip.MustParseAddrPort(server.Listener.Addr().String())
	for _, shares := range [][]int{{7, 3}, {3, 7}} {
		var share, beyond, dials atomic.Int64
		s := &Sender{DialTimeout: time.Second}
		s.OnConnect = func(target netip.AddrPort) {
			dials.Add(1)
			if int64(s.OpenConnections(target)) > share.Load() {
				beyond.Add(1)
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
		require.Zero(t, beyond.Load(), "no dial went beyond the share")
	}
}

// TestRetainKeepsCount drops a target while a request runs there and uses it
// again: the share still counts the connection of that request.
func TestRetainKeepsCount(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	finish := sync.OnceFunc(func() { close(end) })
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-end
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
	<-begun
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
	}, time.Second, time.Millisecond, "the pool is dropped with its last connection")
}
