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

// testTarget is a target that runs a script for each request.
type testTarget struct {
	address netip.AddrPort
	opened  atomic.Int32
	mutex   sync.Mutex
	// requestIDs holds the identifiers of the received requests.
	requestIDs []string
}

// startTarget starts a target that calls script for each request of a connection.
// The script gets the identifier of the request and its number on the connection,
// writes any bytes, and returns false to close the connection.
func startTarget(t *testing.T, script func(c net.Conn, id string, n int) bool) *testTarget {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	p := &testTarget{address: netip.MustParseAddrPort(l.Addr().String())}
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

func (p *testTarget) serve(c net.Conn, script func(c net.Conn, id string, n int) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := q.Header.Get("Id")
		p.mutex.Lock()
		p.requestIDs = append(p.requestIDs, id)
		p.mutex.Unlock()
		if !script(c, id, n) {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
	}
}

func (p *testTarget) received(id string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := 0
	for _, s := range p.requestIDs {
		if s == id {
			n++
		}
	}
	return n
}

func completeResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string, nonIdempotent bool) *Request {
	return &Request{
		Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{"Id": {id}}, IDHeader: "Id", NonIdempotent: nonIdempotent,
		NotExecuted: func(response *sender.Response) bool { return response.Header.Get("Not-Executed") != "" }, MaxConnections: 4,
	}
}

func send(x *Exchanger, p *testTarget, id string, nonIdempotent bool) (*sender.Response, sender.Effect, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return x.Send(ctx, p.address, newRequest(id, nonIdempotent))
}

// TestConnectionsAreReused guards against a new connection for each request.
func TestConnectionsAreReused(t *testing.T) {
	p := startTarget(t, func(c net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(c, completeResponse(id, "body "+id))
		return true
	})
	x := New()
	for k := range 10 {
		response, effect, err := send(x, p, fmt.Sprint(k), true)
		require.NoError(t, err)
		require.Equal(t, sender.Done, effect)
		require.Equal(t, "body "+fmt.Sprint(k), string(response.Body))
	}
	require.EqualValues(t, 1, p.opened.Load())
}

// TestMisbehavingTargets guards against requests that are sent twice and against
// responses that are incomplete or belong to another request, when a target cuts
// connections, sends malformed data or sends responses to other requests. A response
// with neither a length nor chunks counts as complete, unless the connection is reset.
func TestMisbehavingTargets(t *testing.T) {
	for name, c := range map[string]struct {
		script func(c net.Conn, id string, n int) bool
		done   bool
	}{
		"cut": {func(c net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(c, completeResponse(id, "x")[:30])
			return false
		}, false},
		"no response": {func(net.Conn, string, int) bool { return false }, false},
		"garbage": {func(c net.Conn, _ string, _ int) bool {
			_, _ = io.WriteString(c, "not http at all\r\n\r\n")
			return false
		}, false},
		"short body": {func(c net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(c, strings.TrimSuffix(completeResponse(id, "abc"), "c"))
			return false
		}, false},
		"reset": {func(c net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nabc")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}, false},
		"neither length nor chunks": {func(c net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nabc")
			return false
		}, true},
		"incomplete chunks": {func(c net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
			return false
		}, false},
		"another response first": {func(c net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(c, completeResponse("other", "wrong")+completeResponse(id, "abc"))
			return true
		}, true},
		"only other responses": {func(c net.Conn, _ string, _ int) bool {
			_, _ = io.WriteString(c, strings.Repeat(completeResponse("other", "wrong"), maxResponses))
			return true
		}, false},
		"continue": {func(c net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+completeResponse(id, "abc"))
			return true
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := startTarget(t, c.script)
			x := New()
			for k := range 3 {
				id := fmt.Sprint(k)
				response, effect, err := send(x, p, id, false)
				require.LessOrEqual(t, p.received(id), 1)
				if !c.done {
					require.Error(t, err)
					require.Equal(t, sender.Lost, effect)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, "abc", string(response.Body))
			}
		})
	}
}

// TestLateSecondResponseIsSkipped guards against a response that reaches the wrong
// client: a target sends a second response to a request when the next request has
// already been sent on the connection.
func TestLateSecondResponseIsSkipped(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		p := startTarget(t, func(c net.Conn, id string, n int) bool {
			if n > 0 {
				_, _ = io.WriteString(c, completeResponse("0", "late"))
				time.Sleep(10 * time.Millisecond)
			}
			_, _ = io.WriteString(c, completeResponse(id, "body "+id))
			return true
		})
		x := New()
		for k := range 6 {
			response, _, err := send(x, p, fmt.Sprint(k), nonIdempotent)
			require.NoError(t, err)
			require.Equal(t, fmt.Sprint("body ", k), string(response.Body))
		}
	}
}

// TestIdleConnectionWithBytesIsNotUsed guards against a late response that is taken
// for the response to the next request: it arrives while the connection is idle.
func TestIdleConnectionWithBytesIsNotUsed(t *testing.T) {
	idle, late := make(chan struct{}), make(chan struct{})
	p := startTarget(t, func(c net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(c, completeResponse(id, "abc"))
		go func() { <-idle; _, _ = io.WriteString(c, completeResponse("late", "late")); late <- struct{}{} }()
		return true
	})
	x := New()
	for k := range 3 {
		response, _, err := send(x, p, fmt.Sprint(k), true)
		require.NoError(t, err)
		require.Equal(t, "abc", string(response.Body))
		idle <- struct{}{}
		<-late
	}
	require.EqualValues(t, 3, p.opened.Load())
}

// TestClosedIdleConnectionIsNotUsed guards against requests that fail because the
// target has closed the idle connection. A new connection must be opened instead.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	p := startTarget(t, func(c net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(c, completeResponse(id, "abc"))
		return false
	})
	x := New()
	for k := range 5 {
		_, effect, err := send(x, p, fmt.Sprint(k), true)
		require.NoError(t, err)
		require.Equal(t, sender.Done, effect)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestEarlyResponseToLongBody guards against a request that follows an incomplete
// body on the same connection: a target responds before it has read a long body,
// and the rest of the body is not sent.
func TestEarlyResponseToLongBody(t *testing.T) {
	p := startTarget(t, func(c net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(c, completeResponse(id, "early"))
		time.Sleep(30 * time.Millisecond)
		return true
	})
	x := New()
	for k := range 3 {
		q := newRequest(fmt.Sprint(k), false)
		q.Method, q.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		response, _, err := x.Send(ctx, p.address, q)
		cancel()
		require.NoError(t, err)
		require.Equal(t, "early", string(response.Body))
	}
	require.Equal(t, 1, p.received("2"))
}

// TestNotExecuted guards against a wrong effect for a response that says that the
// target did not execute the request.
func TestNotExecuted(t *testing.T) {
	p := startTarget(t, func(c net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	_, effect, err := send(New(), p, "a", true)
	require.NoError(t, err)
	require.Equal(t, sender.NotExecuted, effect)
}

// TestConnectionsAreBounded guards against more connections than MaxConnections,
// which newRequest sets to 4.
func TestConnectionsAreBounded(t *testing.T) {
	p := startTarget(t, func(c net.Conn, id string, _ int) bool {
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(c, completeResponse(id, "abc"))
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

// TestCanceledExchangeEndsItsConnection guards against a target that keeps working
// on a canceled request because the connection stays open.
func TestCanceledExchangeEndsItsConnection(t *testing.T) {
	closed := make(chan struct{})
	p := startTarget(t, func(c net.Conn, _ string, _ int) bool {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { time.Sleep(30 * time.Millisecond); cancel() }()
	_, effect, err := New().Send(ctx, p.address, newRequest("a", false))
	require.Error(t, err)
	require.Equal(t, sender.Lost, effect)
	<-closed
}

func TestRefusedConnectionSendsNothing(t *testing.T) {
	_, effect, err := New().Send(context.Background(), netip.MustParseAddrPort("127.0.0.1:1"), newRequest("a", true))
	require.Error(t, err)
	require.Equal(t, sender.Unsent, effect)
}

// Guards against an idle timeout that exceeds the range of a duration: each connection of that
// target was closed after one response.
func TestGreatIdleTimeoutKeepsTheConnection(t *testing.T) {
	c, now := &conn{}, time.Unix(1000, 0)
	for text, want := range map[string]time.Duration{
		"timeout=10000000000": maxIdleSeconds*time.Second - idleMargin, "timeout=9223372036854775807": maxIdleSeconds*time.Second - idleMargin,
		"timeout=10": 10*time.Second - idleMargin, "timeout=99999999999999999999": defaultIdleTimeout, "timeout=-1": 0,
	} {
		c.updateExpiry(text, now)
		require.Equal(t, want, c.expires.Sub(now), text)
	}
}
