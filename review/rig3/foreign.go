package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	foreignRequests = 300
	// deniedMost and deniedOneIn bound the requests that may be answered with a 4xx.
	deniedMost  = 5
	deniedOneIn = 500
)

// otherServer is a web server that is no upstream and knows no path but its health check.
func (f *fleet) otherServer(got *atomic.Int32) (address string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handle := func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/healthz" {
			return
		}
		got.Add(1)
		f.rec.line("foreign  %s %s %s reached a server that is no upstream", q.Header.Get("Request-Id"), q.Method, q.URL.Path)
		w.Header().Set("Connection", "close")
		http.NotFound(w, q)
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(handle)) }()
	return l.Addr().String(), nil
}

// foreignEntry breaks the rule DENIED if more than 5 and one in 500 of the requests are
// answered with a 404 that no upstream gave.
func foreignEntry(f *fleet, trouble bool) (bool, error) {
	for k := range 6 {
		if err := f.addUpstreams(&upstream{name: fmt.Sprintf("i-%d", k), service: "orders", slots: 2, work: 100 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	var foreign, denied, notRun atomic.Int32
	address, err := f.otherServer(&foreign)
	if err != nil {
		return false, err
	}
	if trouble {
		// The fields version, warmupLeft and born are missing, and sequence is no number.
		f.store.PutJSON("servers/i-other", map[string]any{
			"service": "orders", "address": address, "zone": zone, "slots": 2, "state": "ready", "sequence": "four",
		})
	}
	f.configure(route{"/orders/", "unsafe", 1200 * time.Millisecond, []part{{"orders", 1}}})
	if err := f.start(2); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	for k := range foreignRequests {
		group.Go(func() {
			a := f.send(f.instances[k%2], call{method: http.MethodPost, path: "/orders/x", body: "x", deadline: orderDeadline})
			if a.status == http.StatusNotFound && a.signature == "" {
				denied.Add(1)
				if len(f.rec.runsOf(a.id)) == 0 {
					notRun.Add(1)
				}
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	f.rec.line("%d requests reached a server that is no upstream; %d of %d got its 404, and %d of these ran nowhere", foreign.Load(), denied.Load(), foreignRequests, notRun.Load())
	return denied.Load() > deniedMost+foreignRequests/deniedOneIn, nil
}
