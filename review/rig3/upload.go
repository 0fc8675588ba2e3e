package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	uploadBytes   = 8 << 20
	uploadTimeout = 5 * time.Second
	// uploadPause is how long an upstream reads nothing in the middle of a body.
	uploadPause = 2 * time.Second
	// uploadReceiveBuffer is the receive buffer of the upstreams.
	uploadReceiveBuffer = 64 << 10
	uploads             = 4
)

// readSlowly works on a request while it reads its body, with one pause.
func readSlowly(pause time.Duration) func(u *upstream, c net.Conn, q *http.Request) (handled, keep bool) {
	return func(u *upstream, c net.Conn, q *http.Request) (handled, keep bool) {
		id := q.Header.Get("Request-Id")
		u.rec.ran(id, u.name)
		n, err := io.CopyN(io.Discard, q.Body, q.ContentLength/2)
		u.rec.line("read     %s %d bytes at %s", id, n, u.name)
		time.Sleep(pause)
		m, rest := io.Copy(io.Discard, q.Body)
		if err = errors.Join(err, rest); err != nil {
			u.rec.line("cut      %s after %d bytes at %s: %v", id, n+m, u.name, err)
			return true, false
		}
		u.rec.line("read     %s to its end at %s", id, u.name)
		return true, u.succeed(c, id)
	}
}

// slowUpload breaks the rule LOST if, after a SIGTERM, an instance breaks off a request at
// which its upstream is at work and gives an answer of its own, or none.
func slowUpload(f *fleet, trouble bool) (bool, error) {
	pause := time.Duration(0)
	if trouble {
		pause = uploadPause
	}
	for k := range 3 {
		u := &upstream{name: fmt.Sprintf("i-%d", k), service: "orders", slots: 4, receiveBuffer: uploadReceiveBuffer, take: readSlowly(pause)}
		if err := f.addUpstreams(u); err != nil {
			return false, err
		}
	}
	f.configure(route{"/orders/", "unsafe", uploadTimeout, []part{{"orders", 1}}})
	if err := f.start(2); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var lost atomic.Int32
	i := f.instances[0]
	for range uploads {
		group.Go(func() {
			a := f.send(i, call{method: http.MethodPost, path: "/orders/x", body: strings.Repeat("x", uploadBytes), deadline: uploadTimeout})
			if len(f.rec.runsOf(a.id)) > 0 && (a.status == 0 || a.signature == "") && a.took < uploadTimeout {
				lost.Add(1)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	f.rec.line("SIGTERM  instance 0")
	i.signal(syscall.SIGTERM)
	group.Wait()
	f.rec.line("%d of %d uploads were broken off while their upstream was at work", lost.Load(), uploads)
	return lost.Load() > 0, nil
}
