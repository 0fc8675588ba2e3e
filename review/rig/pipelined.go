package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// pipelined stops one of three instances with SIGTERM while clients that send a further request
// before the first one is answered have a request in progress there.
func pipelined(ctx context.Context, r *rig) error {
	const (
		service = "wuno96b"
		clients = 8
	)
	if err := r.addInstances("bagmati-a", "bagmati-b", "bagmati-c"); err != nil {
		return err
	}
	for k := range 17 {
		u := &upstream{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: "bagmati-" + string(rune('a'+k%3)), slots: 2, queue: 4, work: 640 * time.Millisecond}
		if err := r.addUpstream(u); err != nil {
			return err
		}
	}
	r.configure(7, []string{service}, route{prefix: "/gofe112/", kind: "safe", service: service, timeout: 4 * time.Second, aim: 1500 * time.Millisecond, priority: 2, attempts: 2})
	if err := r.startAll(); err != nil {
		return err
	}
	stopped := r.instances[0]
	var group sync.WaitGroup
	for range clients {
		group.Go(func() { r.pipeline(stopped, rand.Int63()) })
	}
	time.Sleep(pipelineLead)
	sent := time.Now()
	if r.trouble {
		stopped.signal(syscall.SIGTERM)
		// The platform kills a process that has not ended after the grace period.
		time.AfterFunc(grace, func() { stopped.signal(syscall.SIGKILL) })
	}
	group.Wait()
	select {
	case <-time.After(time.Until(sent.Add(grace + time.Second))):
	case <-ctx.Done():
	}
	return nil
}

// pipelineLead is the time from the first requests to the signal.
const pipelineLead = 250 * time.Millisecond

// pipeline sends two requests on one connection, the second one before the first is answered and
// more than three seconds after the signal, and checks the rule LOST.
func (r *rig) pipeline(at *instance, id int64) {
	conn, err := net.DialTimeout("tcp4", at.front(), time.Second)
	if err != nil {
		r.record.add("client: %v", err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	first, second := fmt.Sprintf("%016x", id), fmt.Sprintf("%016x", id+1)
	send := func(id string, work time.Duration) time.Time {
		text := fmt.Sprintf("GET /gofe112/%s?work=%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 8000\r\n\r\n", id, work, host, id)
		if _, err := io.WriteString(conn, text); err != nil {
			r.record.add("client %s: %v", id, err)
		}
		r.record.add("client sends GET /gofe112/%s to %s", id, at.name)
		return time.Now()
	}
	began := send(first, 3700*time.Millisecond)
	reader := bufio.NewReader(conn)
	answered := make(chan error, 1)
	go func() { answered <- r.read(reader, first) }()
	// About 3.3 s after the signal the first request is still in progress.
	time.Sleep(pipelineLead + 3300*time.Millisecond - time.Since(began))
	select {
	case err := <-answered:
		r.record.add("client %s is answered too early for the case: %v", first, err)
		return
	default:
	}
	sent := send(second, 2400*time.Millisecond)
	if err := <-answered; err != nil {
		r.record.add("client %s: %v", first, err)
		return
	}
	err = r.read(reader, second)
	switch runs := r.record.runsOf(second); {
	case err == nil:
		r.record.count("second requests with a complete answer", 1)
	case len(runs) == 0:
		r.record.count("second requests that were not passed on", 1)
	default:
		r.record.breaks("client %s, sent behind %s, was passed on to %s and its connection ended %s later without a complete answer: %v",
			second, first, runs[0].upstream, time.Since(sent).Round(time.Millisecond), err)
	}
}

// read reads a complete answer to a request.
func (r *rig) read(from *bufio.Reader, id string) error {
	a, err := http.ReadResponse(from, &http.Request{Method: http.MethodGet})
	if err != nil {
		return err
	}
	_, err = io.ReadAll(a.Body)
	r.record.add("client %s: status %d, close %t, %v", id, a.StatusCode, a.Close, err)
	return err
}
