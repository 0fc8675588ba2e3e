package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	// greyShare is the share of its requests that the grey upstream fails.
	greyShare = 0.4
	// refusalOrders is the number of orders that the client sends.
	refusalOrders = 300
	orderDeadline = 2500 * time.Millisecond
)

// failAfterRun fails a share of the requests with status 503 after they have run. The answer
// does not say that the request was not executed.
func failAfterRun(u *upstream, c net.Conn, q *http.Request) (handled, keep bool) {
	if rand.Float64() >= greyShare {
		return false, false
	}
	id := q.Header.Get("Request-Id")
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return true, false
	}
	u.rec.ran(id, u.name)
	time.Sleep(u.work)
	u.rec.line("failed   %s with 503 at %s, without Not-Executed", id, u.name)
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nUpstream-Signature: sig.%s.%s\r\nUpstream-Load: %s\r\nContent-Length: 0\r\n\r\n", id, u.name, id, u.load())
	return true, err == nil
}

// ownRefusal breaks the rule REFUSED if a request that is not idempotent is answered with
// status 503 although it has run.
func ownRefusal(f *fleet, trouble bool) (bool, error) {
	for k := range 8 {
		u := &upstream{name: fmt.Sprintf("i-%d", k), service: "orders", slots: 2, work: 20 * time.Millisecond}
		if trouble && k == 0 {
			u.take = failAfterRun
		}
		if err := f.addUpstreams(u); err != nil {
			return false, err
		}
	}
	f.configure(route{"/orders/", "unsafe", 1200 * time.Millisecond, []part{{"orders", 1}}})
	if err := f.start(2); err != nil {
		return false, err
	}
	refused, doubled := 0, 0
	for k := range refusalOrders {
		if hasRun, ranAgain := f.order(k); hasRun {
			refused++
			if ranAgain {
				doubled++
			}
		}
	}
	f.rec.line("%d of %d orders were refused with 503 and had run; %d of these ran again when the client came back", refused, refusalOrders, doubled)
	return refused > 0, nil
}

// order sends one order, and once more after a 503, as the pages allow a client. It reports
// whether a try that was refused had run, and whether a later try then ran too.
func (f *fleet) order(k int) (refusedAndRun, ranAgain bool) {
	c := call{method: http.MethodPost, path: fmt.Sprintf("/orders/%d", k), body: fmt.Sprintf("order %d", k), deadline: orderDeadline}
	first := f.send(f.instances[k%len(f.instances)], c)
	if first.status != http.StatusServiceUnavailable {
		return false, false
	}
	second := f.send(f.instances[(k+1)%len(f.instances)], c)
	refusedAndRun = len(f.rec.runsOf(first.id)) > 0
	return refusedAndRun, refusedAndRun && len(f.rec.runsOf(second.id)) > 0
}
