package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two writes of an upstream, and after three of them its
	// entry expires.
	heartbeat = 1500 * time.Millisecond
	// idleTimeout is how long an upstream keeps an idle connection.
	idleTimeout = 10 * time.Second
	// queueLength is the number of requests that wait at an upstream beside its slots.
	queueLength = 4
)

// answer is what an upstream sends for one request.
type answer struct {
	status int
	body   []byte
	// write, if set, writes the answer in place of status and body, and the connection ends.
	write func(w io.Writer, head string)
	// crash means that the upstream crashes when it begins to run the request.
	crash bool
	work  time.Duration
}

// run is a request that an upstream has begun to run, or that has only arrived.
type run struct {
	id, upstream, path string
	at                 time.Time
}

// upstream is a server of a service as the pages describe it.
type upstream struct {
	fleet   *fleet
	service string
	zone    string
	address netip.AddrPort
	slots   int
	// serve decides how a request is answered.
	serve func(u *upstream, q *http.Request, body []byte) answer
	// onArrival is called for each request with an id.
	onArrival func(r run)

	mutex            sync.Mutex
	id               string
	born             int64
	listener         net.Listener
	conns            map[net.Conn]struct{}
	running, waiting int
	free             *sync.Cond
	incarnations     int
	down             bool
}

// addUpstreams starts n upstreams of a service.
func (f *fleet) addUpstreams(service string, group, n, slots int, serve func(u *upstream, q *http.Request, body []byte) answer, onArrival func(r run)) ([]*upstream, error) {
	var all []*upstream
	for k := range n {
		u := &upstream{
			fleet: f, service: service, zone: f.zones[k%len(f.zones)], slots: slots, serve: serve, onArrival: onArrival,
			address: netip.AddrPortFrom(f.address(group, k), uint16(8500+k)),
		}
		u.free = sync.NewCond(&u.mutex)
		if err := u.start(); err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

func (u *upstream) start() error {
	l, err := net.Listen("tcp4", u.address.String())
	if err != nil {
		return err
	}
	u.mutex.Lock()
	u.incarnations++
	u.id = fmt.Sprintf("i-%s-%s-%d", u.service, u.address.Addr().String()[8:], u.incarnations)
	u.born, u.listener, u.conns, u.running, u.waiting, u.down = time.Now().UnixMilli(), l, map[net.Conn]struct{}{}, 0, 0, false
	u.writeEntry()
	u.mutex.Unlock()
	go u.accept(l, u.id)
	return nil
}

// writeEntry registers the upstream in the store. The caller holds the mutex.
func (u *upstream) writeEntry() {
	u.fleet.store.PutJSON("servers/"+u.id, map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": "ready", "warmupLeft": "0ms", "sequence": 1, "born": u.born,
	})
}

func (u *upstream) accept(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mutex.Lock()
		if u.id != id || u.down {
			u.mutex.Unlock()
			c.Close()
			continue
		}
		u.conns[c] = struct{}{}
		u.mutex.Unlock()
		go u.handle(c, id)
	}
}

// crash resets all connections and ends the incarnation. The upstream is back after some time
// under a new id; the entry of the old incarnation expires after three heartbeats.
func (u *upstream) crash(id string, back time.Duration) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.down || u.id != id {
		return
	}
	u.down = true
	u.listener.Close()
	for c := range u.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	u.free.Broadcast()
	time.AfterFunc(3*heartbeat, func() { u.fleet.store.Delete("servers/" + id) })
	time.AfterFunc(back, func() {
		if err := u.start(); err != nil {
			u.fleet.record.printf("ERROR upstream %s does not start again: %v", u.address, err)
		}
	})
}

// crashNow crashes the present incarnation.
func (u *upstream) crashNow(back time.Duration) { u.crash(u.currentID(), back) }

func (u *upstream) handle(c net.Conn, id string) {
	defer func() {
		c.Close()
		u.mutex.Lock()
		delete(u.conns, c)
		u.mutex.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(q.Body)
		if err != nil || !u.respond(c, q, body, id) {
			return
		}
	}
}

// respond answers one request and reports whether the connection can carry another one.
func (u *upstream) respond(c net.Conn, q *http.Request, body []byte, id string) bool {
	requestID, target := q.Header.Get("Request-Id"), q.Header.Get("Target-Instance")
	if q.URL.Path == "/healthz" {
		return u.write(c, http.StatusOK, "Instance-Id: "+id+"\r\n", nil)
	}
	if requestID == "" {
		return u.write(c, http.StatusBadRequest, "Not-Executed: 1\r\n", nil)
	}
	if target != "" && target != id {
		return u.write(c, http.StatusMisdirectedRequest, "Request-Id: "+requestID+"\r\nInstance-Id: "+id+"\r\n", nil)
	}
	if !u.enter(id) {
		return u.write(c, http.StatusServiceUnavailable, "Request-Id: "+requestID+"\r\nNot-Executed: 1\r\n", nil)
	}
	defer u.leave(id)
	if u.onArrival != nil {
		u.onArrival(run{id: requestID, upstream: id, path: q.RequestURI, at: time.Now()})
	}
	a := u.serve(u, q, body)
	if a.crash {
		u.crash(id, backAfter)
		return false
	}
	time.Sleep(a.work)
	head := "Request-Id: " + requestID + "\r\nUpstream-Signature: " + signature(requestID, a.body) + "\r\n"
	if a.write != nil {
		a.write(c, head)
		return false
	}
	return u.write(c, a.status, head, a.body)
}

// signature stands for the signature of an upstream.
func signature(requestID string, body []byte) string {
	sum := sha256.Sum256(append([]byte(requestID), body...))
	return hex.EncodeToString(sum[:8])
}

// enter takes a slot, after a wait in the queue if there is room in it.
func (u *upstream) enter(id string) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.down || u.id != id || u.running >= u.slots && u.waiting >= queueLength {
		return false
	}
	u.waiting++
	for u.running >= u.slots && !u.down && u.id == id {
		u.free.Wait()
	}
	u.waiting--
	if u.down || u.id != id {
		return false
	}
	u.running++
	return true
}

func (u *upstream) leave(id string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.id == id && !u.down {
		u.running--
		u.free.Signal()
	}
}

func (u *upstream) load() string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return fmt.Sprintf("Upstream-Load: %d,%d,%d,100\r\n", u.running, u.waiting, u.slots)
}

func (u *upstream) write(c net.Conn, status int, head string, body []byte) bool {
	b := &strings.Builder{}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n%s%sKeep-Alive: timeout=%d\r\nContent-Length: %s\r\n\r\n",
		status, http.StatusText(status), head, u.load(), int(idleTimeout.Seconds()), strconv.Itoa(len(body)))
	_, err := io.WriteString(c, b.String())
	if err == nil {
		_, err = c.Write(body)
	}
	return err == nil
}

// currentID returns the id of the present incarnation.
func (u *upstream) currentID() string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.id
}
