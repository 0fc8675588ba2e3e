package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lingerBytes is the length of the answer to an order.
	lingerBytes    = 30_000
	lingerDeadline = 5 * time.Second
	lingerClients  = 8
	// sentBehind is when a client sends a lookup behind its order, and readsAt when it begins to
	// read, both from the sending of the order.
	sentBehind = 1200 * time.Millisecond
	readsAt    = 1500 * time.Millisecond
	// smallWindow is the receive buffer of a client.
	smallWindow = 4 << 10
)

// dialSmall opens a connection with a small receive buffer.
func dialSmall(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
		})
		return errors.Join(err, failure)
	}}
	return d.DialContext(context.Background(), "tcp4", address)
}

// slowReader breaks the rule LOST if, after a SIGTERM, a request that was passed on to an
// upstream ends without a complete answer before its deadline.
func slowReader(f *fleet, trouble bool) (bool, error) {
	for k := range 4 {
		u := &upstream{name: fmt.Sprintf("i-%d", k), service: "orders", slots: 4, work: 50 * time.Millisecond, bodyBytes: lingerBytes}
		if err := f.addUpstreams(u); err != nil {
			return false, err
		}
	}
	f.configure(
		route{"/orders/", "unsafe", lingerDeadline, []part{{"orders", 1}}},
		route{"/lookups/", "safe", lingerDeadline, []part{{"orders", 1}}},
	)
	if err := f.start(2); err != nil {
		return false, err
	}
	i := f.instances[0]
	sockets := make([]net.Conn, lingerClients)
	for k := range sockets {
		var err error
		if sockets[k], err = dialSmall(i.front()); err != nil {
			return false, err
		}
		defer sockets[k].Close()
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		f.rec.line("SIGTERM  instance 0")
		i.signal(syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond)
	}
	var group sync.WaitGroup
	var lost atomic.Int32
	for _, socket := range sockets {
		group.Go(func() {
			if f.orderAndLookUp(socket) {
				lost.Add(1)
			}
		})
	}
	group.Wait()
	f.rec.line("%d of %d orders ran and got no complete answer before their deadline", lost.Load(), lingerClients)
	return lost.Load() > 0, nil
}

// orderAndLookUp sends an order and, before it reads the answer, a lookup. It reports whether the
// order ran and got no complete answer.
func (f *fleet) orderAndLookUp(socket net.Conn) (lost bool) {
	_ = socket.SetDeadline(time.Now().Add(lingerDeadline))
	order, lookup := newID(), newID()
	f.rec.line("sent     %s POST /orders/x", order)
	_, err := fmt.Fprintf(socket, "POST /orders/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 1\r\n\r\nx", host, order, lingerDeadline.Milliseconds())
	if err != nil {
		return false
	}
	time.Sleep(sentBehind)
	f.rec.line("sent     %s GET /lookups/x", lookup)
	_, _ = fmt.Fprintf(socket, "GET /lookups/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", host, lookup, lingerDeadline.Milliseconds())
	time.Sleep(readsAt - sentBehind)
	n, err := receive(bufio.NewReader(socket))
	f.rec.line("answered %s with %d of %d bytes, err=%v", order, n, lingerBytes, err)
	return err != nil && len(f.rec.runsOf(order)) > 0
}

// receive reads one answer and returns the length of its body.
func receive(r *bufio.Reader) (int64, error) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	return io.Copy(io.Discard, response.Body)
}
