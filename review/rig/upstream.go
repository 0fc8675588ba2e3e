package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// idleClose is how long an upstream leaves an idle connection open. It says so in Keep-Alive.
const idleClose = 10 * time.Second

// upstream is a stand-in for one upstream. Without trouble it does what the pages say of a sound
// one: it runs as many requests as it has slots, queues a few, and turns the rest away.
type upstream struct {
	id, service, zone string
	address           string
	slots, queue      int
	work              time.Duration
	record            *record
	listener          net.Listener

	// trouble says what is wrong with an answer; nil means that nothing is.
	trouble func(health bool) fault

	mutex            sync.Mutex
	running, waiting int
	changed          chan struct{}
	conns            map[net.Conn]bool
}

// fault is what an upstream in trouble does with one answer.
type fault int

const (
	sound fault = iota
	// secondAnswer sends the answer once more, late: where the next answer is expected.
	secondAnswer
)

func startUpstream(u *upstream, at string) error {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return err
	}
	u.listener, u.address, u.changed, u.conns = l, l.Addr().String(), make(chan struct{}), map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mutex.Lock()
			u.conns[c] = true
			u.mutex.Unlock()
			go u.serve(c)
		}
	}()
	return nil
}

// received is a request that has been read.
type received struct {
	*http.Request
	body []byte
}

// serve serves one request of a connection at a time. A request is dropped when its connection
// closes.
func (u *upstream) serve(c net.Conn) {
	defer func() {
		u.mutex.Lock()
		delete(u.conns, c)
		u.mutex.Unlock()
		c.Close()
	}()
	requests, gone := make(chan received), make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer close(gone)
		defer cancel()
		r := bufio.NewReader(c)
		_ = c.SetReadDeadline(time.Now().Add(idleClose))
		for {
			if _, err := r.Peek(1); err != nil {
				return
			}
			_ = c.SetReadDeadline(time.Time{})
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(q.Body)
			if err != nil {
				return
			}
			select {
			case requests <- received{q, body}:
			case <-ctx.Done():
				return
			}
		}
	}()
	late := []byte(nil)
	for {
		select {
		case q := <-requests:
			answer, f := u.answer(ctx, q)
			if answer == nil {
				return
			}
			if late != nil {
				u.record.add("upstream %s sends the second answer, which was made for an earlier request, before that to %q", u.id, q.Header.Get("Request-Id"))
			}
			if _, err := c.Write(append(late, answer...)); err != nil {
				return
			}
			// An idle connection stays open for some time from its last answer on.
			_ = c.SetReadDeadline(time.Now().Add(idleClose))
			late = nil
			if f == secondAnswer {
				late = answer
			}
		case <-gone:
			return
		}
	}
}

func (u *upstream) load() string {
	return fmt.Sprintf("%d,%d,%d,100", u.running, u.waiting, u.slots)
}

// answer runs a request and returns the answer, or nil if the caller has left.
func (u *upstream) answer(ctx context.Context, q received) ([]byte, fault) {
	f := sound
	if q.URL.Path == healthPath {
		if u.trouble != nil {
			f = u.trouble(true)
		}
		u.mutex.Lock()
		defer u.mutex.Unlock()
		return u.encode(200, "", http.Header{"Instance-Id": {u.id}, "Upstream-Load": {u.load()}}, nil), f
	}
	id := q.Header.Get("Request-Id")
	switch name := q.Header.Get("Target-Instance"); {
	case name != "" && name != u.id:
		return u.encode(421, id, http.Header{"Instance-Id": {u.id}}, nil), sound
	case id == "":
		return u.encode(400, id, http.Header{"Not-Executed": {"1"}}, nil), sound
	}
	deadline := time.Hour
	if ms, err := strconv.ParseFloat(q.Header.Get("Deadline-Ms"), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	if !u.enter(ctx) {
		u.mutex.Lock()
		defer u.mutex.Unlock()
		return u.encode(503, id, http.Header{"Not-Executed": {"1"}, "Upstream-Load": {u.load()}}, nil), sound
	}
	u.record.ran(run{id: id, upstream: u.id, service: u.service, method: q.Method, path: q.RequestURI, body: string(q.body), at: time.Now()})
	ended := u.run(ctx, q)
	if u.trouble != nil {
		f = u.trouble(false)
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.running--
	u.wake()
	switch {
	case !ended && ctx.Err() == context.DeadlineExceeded:
		return u.encode(504, id, http.Header{"Upstream-Signature": {signature(u.id, id, "")}}, nil), sound
	case !ended:
		return nil, sound
	}
	body := bodyOf(u.id, id)
	return u.encode(200, id, http.Header{"Upstream-Signature": {signature(u.id, id, body)}, "Upstream-Load": {u.load()}}, []byte(body)), f
}

// enter waits for a slot and reports whether there is one before the deadline.
func (u *upstream) enter(ctx context.Context) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.running >= u.slots && u.waiting >= u.queue {
		return false
	}
	u.waiting++
	defer func() { u.waiting-- }()
	for u.running >= u.slots {
		changed := u.changed
		u.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		u.mutex.Lock()
		if ctx.Err() != nil {
			return false
		}
	}
	u.running++
	return true
}

// wake wakes those that wait for a slot. The caller holds the mutex.
func (u *upstream) wake() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// run works on a request, and reports whether it has come to its end. The parameter work of the
// path sets how long the work takes.
func (u *upstream) run(ctx context.Context, q received) bool {
	work := time.Duration((0.7 + 0.6*rand.Float64()) * float64(u.work))
	if d, err := time.ParseDuration(q.URL.Query().Get("work")); err == nil {
		work = d
	}
	select {
	case <-time.After(work):
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *upstream) encode(status int, id string, h http.Header, body []byte) []byte {
	b := &bytes.Buffer{}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=%d\r\n", status, http.StatusText(status), len(body), int(idleClose.Seconds()))
	if id != "" {
		h.Set("Request-Id", id)
	}
	_ = h.Write(b)
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// bodyOf returns the body of an upstream's answer to a request.
func bodyOf(upstream, id string) string {
	return strings.Repeat("answer of "+upstream+" to "+id+"\n", 8)
}

// signature returns the signature of an answer.
func signature(upstream, id, body string) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, upstream+id+body)
	return fmt.Sprintf("%s.%s.%08x", upstream, id, h.Sum32())
}

// exit ends the upstream: it closes all connections and accepts none.
func (u *upstream) exit() {
	u.record.add("upstream %s exits", u.id)
	u.listener.Close()
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for c := range u.conns {
		c.Close()
	}
}
