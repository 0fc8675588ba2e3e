package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
)

// peer is a target that follows a script for each connection.
type peer struct {
	address netip.AddrPort
	opened  atomic.Int32
	mutex   sync.Mutex
	// seen holds the identifiers of the requests that were read.
	seen []string
}

// listen serves each connection by a script, which gets the identifier of each
// request and writes what it likes; it ends the connection by returning false.
func listen(t *testing.T, script func(c net.Conn, id string, n int) bool) *peer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	p := &peer{address: netip.MustParseAddrPort(l.Addr().String())}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.opened.Add(1)
			go p.serve(c, script)
		}
	}()
	return p
}

func (p *peer) serve(c net.Conn, script func(c net.Conn, id string, n int) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := q.Header.Get("Id")
		p.mutex.Lock()
		p.seen = append(p.seen, id)
		p.mutex.Unlock()
		if !script(c, id, n) {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
	}
}

func (p *peer) ran(id string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := 0
	for _, s := range p.seen {
		if s == id {
			n++
		}
	}
	return n
}

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string, careful bool) *Request {
	return &Request{
		Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{"Id": {id}}, IDHeader: "Id", NonIdempotent: careful,
		NotExecuted: func(a *sender.Response) bool { return a.Header.Get("Unrun") != "" }, MaxConnections: 4,
	}
}

func send(x *Exchanger, p *peer, id string, careful bool) (*sender.Response, sender.Effect, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return x.Send(ctx, p.address, request(id, careful))
}

func TestConnectionsAreKept(t *testing.T) {
	p := listen(t, func(c net.Conn, id string, _ int) bool { _, _ = io.WriteString(c, whole(id, "body "+id)); return true })
	x := New()
	for k := range 10 {
		a, effect, err := send(x, p, fmt.Sprint(k), true)
		require.NoError(t, err)
		require.Equal(t, sender.Done, effect)
		require.Equal(t, "body "+fmt.Sprint(k), string(a.Body))
	}
	require.EqualValues(t, 1, p.opened.Load())
}

// Whatever a target does, a request leaves once, and an answer that is passed on is
// whole and the request's own.
func TestMisbehavingTargets(t *testing.T) {
	for name, c := range map[string]struct {
		script func(c net.Conn, id string, n int) bool
		done   bool
	}{
		"cut":        {func(c net.Conn, id string, _ int) bool { _, _ = io.WriteString(c, whole(id, "x")[:30]); return false }, false},
		"silent end": {func(net.Conn, string, int) bool { return false }, false},
		"garbage": {func(c net.Conn, _ string, _ int) bool {
			_, _ = io.WriteString(c, "not http at all\r\n\r\n")
			return false
		}, false},
		"short body": {func(c net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(c, strings.TrimSuffix(whole(id, "abc"), "c"))
			return false
		}, false},
		"reset": {func(c net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nabc")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}, false},
		"unframed": {func(c net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nabc")
			return false
		}, true},
		"chunks cut": {func(c net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
			return false
		}, false},
		"answer before": {func(c net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(c, whole("other", "wrong")+whole(id, "abc"))
			return true
		}, true},
		"only other answers": {func(c net.Conn, _ string, _ int) bool {
			_, _ = io.WriteString(c, strings.Repeat(whole("other", "wrong"), strays))
			return true
		}, false},
		"continue": {func(c net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+whole(id, "abc"))
			return true
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := listen(t, c.script)
			x := New()
			for k := range 3 {
				id := fmt.Sprint(k)
				a, effect, err := send(x, p, id, false)
				require.LessOrEqual(t, p.ran(id), 1)
				if !c.done {
					require.Error(t, err)
					require.Equal(t, sender.Lost, effect)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, "abc", string(a.Body))
			}
		})
	}
}

// A second answer that comes late, when the next request is under way, is skipped.
func TestLateSecondAnswerBelongsToNobody(t *testing.T) {
	for _, careful := range []bool{false, true} {
		p := listen(t, func(c net.Conn, id string, n int) bool {
			if n > 0 {
				_, _ = io.WriteString(c, whole("0", "late"))
				time.Sleep(10 * time.Millisecond)
			}
			_, _ = io.WriteString(c, whole(id, "body "+id))
			return true
		})
		x := New()
		for k := range 6 {
			a, _, err := send(x, p, fmt.Sprint(k), careful)
			require.NoError(t, err)
			require.Equal(t, fmt.Sprint("body ", k), string(a.Body))
		}
	}
}

// Bytes that arrive on an idle connection end it.
func TestIdleConnectionWithBytesIsNotUsed(t *testing.T) {
	p := listen(t, func(c net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(c, whole(id, "abc"))
		go func() { time.Sleep(20 * time.Millisecond); _, _ = io.WriteString(c, whole("late", "late")) }()
		return true
	})
	x := New()
	for k := range 3 {
		a, _, err := send(x, p, fmt.Sprint(k), true)
		require.NoError(t, err)
		require.Equal(t, "abc", string(a.Body))
		time.Sleep(60 * time.Millisecond)
	}
	require.EqualValues(t, 3, p.opened.Load())
}

// A target that has closed an idle connection costs a new one, not the request.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	p := listen(t, func(c net.Conn, id string, _ int) bool { _, _ = io.WriteString(c, whole(id, "abc")); return false })
	x := New()
	for k := range 5 {
		_, effect, err := send(x, p, fmt.Sprint(k), true)
		require.NoError(t, err)
		require.Equal(t, sender.Done, effect)
		time.Sleep(20 * time.Millisecond)
	}
}

// A target answers before it has read a long body: the rest is not followed by
// another request.
func TestEarlyAnswerToALongBody(t *testing.T) {
	p := listen(t, func(c net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(c, whole(id, "early"))
		time.Sleep(30 * time.Millisecond)
		return true
	})
	x := New()
	for k := range 3 {
		q := request(fmt.Sprint(k), false)
		q.Method, q.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		a, _, err := x.Send(ctx, p.address, q)
		cancel()
		require.NoError(t, err)
		require.Equal(t, "early", string(a.Body))
	}
	require.Equal(t, 1, p.ran("2"))
}

func TestDisowned(t *testing.T) {
	p := listen(t, func(c net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nUnrun: 1\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	_, effect, err := send(New(), p, "a", true)
	require.NoError(t, err)
	require.Equal(t, sender.NotExecuted, effect)
}

func TestConnectionsAreBounded(t *testing.T) {
	p := listen(t, func(c net.Conn, id string, _ int) bool {
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(c, whole(id, "abc"))
		return true
	})
	x := New()
	var unsent atomic.Int32
	var group sync.WaitGroup
	for k := range 10 {
		group.Go(func() {
			if _, effect, err := send(x, p, fmt.Sprint(k), false); err != nil && effect == sender.Unsent {
				unsent.Add(1)
			}
		})
	}
	group.Wait()
	require.EqualValues(t, 4, p.opened.Load())
	require.EqualValues(t, 6, unsent.Load())
	x.CloseExpired(time.Now().Add(time.Minute))
	require.Zero(t, x.OpenConnections())
}

func TestCanceledExchangeEndsItsConnection(t *testing.T) {
	ended := make(chan struct{})
	p := listen(t, func(c net.Conn, _ string, _ int) bool {
		_, _ = c.Read(make([]byte, 1))
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { time.Sleep(30 * time.Millisecond); cancel() }()
	_, effect, err := New().Send(ctx, p.address, request("a", false))
	require.Error(t, err)
	require.Equal(t, sender.Lost, effect)
	<-ended
}

func TestRefusedConnectionSendsNothing(t *testing.T) {
	_, effect, err := New().Send(context.Background(), netip.MustParseAddrPort("127.0.0.1:1"), request("a", true))
	require.Error(t, err)
	require.Equal(t, sender.Unsent, effect)
}
