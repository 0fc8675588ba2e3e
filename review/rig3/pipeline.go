package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// bundleBytes is the length of a large response.
	bundleBytes = 500_000
	// breakShare is the share of the answers that half of the upstreams of the service feeds
	// break off.
	breakShare = 0.02
	pipelines  = 800
	// lookups is the number of requests behind each bundle.
	lookups = 4
	// lostMost is how often an instance may close a kept connection without an answer.
	lostMost = 3
)

// breakOff breaks off a share of the answers near their end.
func breakOff(u *upstream, c net.Conn, q *http.Request) (handled, keep bool) {
	if rand.Float64() >= breakShare {
		return false, false
	}
	id := q.Header.Get("Request-Id")
	u.rec.ran(id, u.name)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nUpstream-Signature: sig.%s.%s\r\nContent-Length: %d\r\n\r\n%s",
		id, u.name, id, bundleBytes, strings.Repeat("b", bundleBytes*9/10))
	time.Sleep(100 * time.Millisecond)
	u.rec.line("breaks   %s off at %s", id, u.name)
	return true, false
}

// brokenPipeline breaks the rule LOST if instances pass more than three requests from kept
// connections on to sound upstreams and close those connections without an answer.
func brokenPipeline(f *fleet, trouble bool) (bool, error) {
	for k := range 4 {
		u := &upstream{name: fmt.Sprintf("feed-%d", k), service: "feeds", slots: 4, work: 20 * time.Millisecond, bodyBytes: bundleBytes}
		if trouble && k < 2 {
			u.take = breakOff
		}
		if err := f.addUpstreams(u, &upstream{name: fmt.Sprintf("look-%d", k), service: "planner", slots: 8, work: 10 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	f.configure(route{"/feeds/", "download", 5 * time.Second, []part{{"feeds", 1}}}, route{"/trips/", "safe", 2500 * time.Millisecond, []part{{"planner", 1}}})
	if err := f.start(1); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	lost := 0
	for range pipelines {
		group.Go(func() {
			n := f.pipeline(f.instances[0])
			mutex.Lock()
			defer mutex.Unlock()
			lost += n
		})
		time.Sleep(30 * time.Millisecond)
	}
	group.Wait()
	f.rec.line("%d requests ran at sound upstreams and got no answer on their kept connection", lost)
	return lost > lostMost, nil
}

// pipeline sends one lookup, then a bundle and some lookups behind it, on one connection. It
// returns the number of lookups that ran and got no answer.
func (f *fleet) pipeline(i *instance) (lost int) {
	socket, err := net.DialTimeout("tcp4", i.front(), time.Second)
	if err != nil {
		return 0
	}
	defer socket.Close()
	_ = socket.SetDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(socket)
	if f.sendPipelined(socket, "/trips/x", newID()) != nil || f.receive(r, "first") != nil {
		return 0
	}
	ids := make([]string, 1+lookups)
	for k := range ids {
		ids[k] = newID()
		path := "/trips/x"
		if k == 0 {
			path = "/feeds/x"
		}
		if f.sendPipelined(socket, path, ids[k]) != nil {
			return 0
		}
	}
	for k, id := range ids {
		if f.receive(r, id) == nil {
			continue
		}
		for _, behind := range ids[max(k, 1):] {
			if len(f.rec.runsOf(behind)) > 0 {
				lost++
			}
		}
		break
	}
	return lost
}

func (f *fleet) sendPipelined(w io.Writer, path, id string) error {
	f.rec.line("sent     %s GET %s", id, path)
	_, err := fmt.Fprintf(w, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n\r\n", path, host, id)
	return err
}

// receive reads one answer.
func (f *fleet) receive(r *bufio.Reader, id string) error {
	response, err := http.ReadResponse(r, nil)
	status := 0
	if err == nil {
		status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
	}
	f.rec.line("answered %s status=%d err=%v", id, status, err)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
