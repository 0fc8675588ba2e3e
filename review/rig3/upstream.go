package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// upstream is a server of a service as the pages describe it.
type upstream struct {
	name, service, zone string
	slots               int
	work                time.Duration
	// bodyBytes is the length of the body of a response.
	bodyBytes int
	// receiveBuffer is the size of the socket's receive buffer; 0 means the default.
	receiveBuffer int
	// take answers a request in place of the usual answer and reports whether it did. The body
	// has not been read yet.
	take    func(u *upstream, c net.Conn, q *http.Request) (handled, keep bool)
	rec     *record
	born    int64
	l       net.Listener
	running atomic.Int32
}

func (u *upstream) start() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u.l, u.born = l, time.Now().UnixMilli()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if u.receiveBuffer > 0 {
				_ = c.(*net.TCPConn).SetReadBuffer(u.receiveBuffer)
			}
			go u.serve(c)
		}
	}()
	return nil
}

func (u *upstream) address() string { return u.l.Addr().String() }

// entry is what the upstream writes to the store.
func (u *upstream) entry() map[string]any {
	return map[string]any{
		"service": u.service, "address": u.address(), "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": "ready", "warmupLeft": "0ms", "sequence": 1, "born": u.born,
	}
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if q.URL.Path == "/healthz" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nUpstream-Load: %s\r\nContent-Length: 0\r\n\r\n", u.name, u.load())
			continue
		}
		if !u.answer(c, q) {
			return
		}
	}
}

func (u *upstream) load() string { return fmt.Sprintf("%d,0,%d", u.running.Load(), u.slots) }

// answer answers one request and reports whether the connection stays open.
func (u *upstream) answer(c net.Conn, q *http.Request) bool {
	id := q.Header.Get("Request-Id")
	if want := q.Header.Get("Target-Instance"); want != "" && want != u.name {
		_, _ = io.Copy(io.Discard, q.Body)
		u.rec.line("421      %s at %s", id, u.name)
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, u.name)
		return true
	}
	u.running.Add(1)
	defer u.running.Add(-1)
	if u.take != nil {
		if handled, keep := u.take(u, c, q); handled {
			return keep
		}
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return false
	}
	u.rec.ran(id, u.name)
	time.Sleep(u.work)
	return u.succeed(c, id)
}

// succeed sends the usual answer.
func (u *upstream) succeed(c net.Conn, id string) bool {
	body := strings.Repeat("b", max(u.bodyBytes, 1))
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nUpstream-Signature: sig.%s.%s\r\nUpstream-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, u.name, id, u.load(), len(body), body)
	return err == nil
}
