package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/platform/standin"
)

// kind is a kind of request.
type kind struct {
	name, method, prefix string
	// path is the whole path, if it is the same for all.
	path     string
	deadline time.Duration
	body     int
	// fresh means a new connection for each request.
	fresh bool
}

// answer is what a client saw of one attempt.
type answer struct {
	id string
	// kept means that the connection had carried a request before.
	kept bool
	// sent means that the whole request was sent.
	sent   bool
	status int
	header http.Header
	body   string
	err    error
	at     *instance
	began  time.Time
	took   time.Duration
}

// clients send requests to the addresses that the directory names.
type clients struct {
	site   *site
	zone   string
	lastID *atomic.Int64
	// check is called with each attempt.
	check func(k kind, a answer)

	mutex     sync.Mutex
	addresses []string
	conns     map[string][]*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
	// idleSince is when the last answer was read.
	idleSince time.Time
}

func newClients(s *site, zone string, ids *atomic.Int64, check func(k kind, a answer)) *clients {
	return &clients{site: s, zone: zone, lastID: ids, check: check, conns: map[string][]*clientConn{}}
}

// resolve asks a directory for addresses again when the last response has expired, until the context ends.
func (c *clients) resolve(ctx context.Context) {
	client := standin.Client(time.Second)
	for ctx.Err() == nil {
		order := rand.Perm(len(c.site.instances))
		for _, k := range order[:min(3, len(order))] {
			q := url.Values{"name": {host}, "region": {"bagmati"}, "zone": {c.zone}}
			a, err := client.Get("http://" + c.site.instances[k].directory() + "/api/resolve?" + q.Encode())
			if err != nil {
				continue
			}
			found := struct {
				Addresses []string `json:"addresses"`
			}{}
			err = json.NewDecoder(a.Body).Decode(&found)
			a.Body.Close()
			if err == nil && len(found.Addresses) > 0 {
				c.mutex.Lock()
				c.addresses = found.Addresses
				c.mutex.Unlock()
				break
			}
		}
		select {
		case <-time.After(time.Duration(1+rand.Intn(1000))*time.Millisecond + 3*time.Second):
		case <-ctx.Done():
		}
	}
}

func (c *clients) drop(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	kept := []string{}
	for _, a := range c.addresses {
		if a != address {
			kept = append(kept, a)
		}
	}
	if len(kept) > 0 {
		c.addresses = kept
	}
}

// maxIdle is how long a connection may have been idle to be used again, four fifths of the limit.
const maxIdle = 12 * time.Second

// take returns a kept connection, or a new one.
func (c *clients) take(fresh bool) (*clientConn, string, error) {
	c.mutex.Lock()
	if len(c.addresses) == 0 {
		c.mutex.Unlock()
		return nil, "", fmt.Errorf("no address is known")
	}
	address := c.addresses[rand.Intn(len(c.addresses))]
	if kept := c.conns[address]; len(kept) > 0 && !fresh && time.Since(kept[len(kept)-1].idleSince) < maxIdle {
		conn := kept[len(kept)-1]
		c.conns[address] = kept[:len(kept)-1]
		c.mutex.Unlock()
		return conn, address, nil
	}
	c.mutex.Unlock()
	n, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		c.drop(address)
		return nil, address, err
	}
	return &clientConn{Conn: n, reader: bufio.NewReader(n)}, address, nil
}

// load sends requests of a kind at a rate, at random times, until the context ends.
func (c *clients) load(ctx context.Context, k kind, perS float64) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-time.After(time.Duration(rand.ExpFloat64() / perS * float64(time.Second))):
			group.Go(func() { c.send(k) })
		case <-ctx.Done():
			return
		}
	}
}

// send makes one attempt.
func (c *clients) send(k kind) {
	a := answer{id: fmt.Sprintf("%016x", c.lastID.Add(1)), began: time.Now()}
	defer func() {
		a.took = time.Since(a.began)
		c.site.record.add("client %s %s: status %d, sent %t, %s, %v", a.id, k.name, a.status, a.sent, a.took.Round(time.Millisecond), a.err)
		c.check(k, a)
	}()
	conn, address, err := c.take(k.fresh)
	for _, i := range c.site.instances {
		if i.front() == address {
			a.at = i
		}
	}
	if err != nil {
		a.err = err
		return
	}
	a.kept = conn.used
	body, path := strings.Repeat("b", k.body), k.prefix+a.id
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", k.method, path, host, a.id, k.deadline.Milliseconds())
	if k.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.site.record.add("client %s sends %s %s to %s", a.id, k.method, path, address)
	_ = conn.SetDeadline(time.Now().Add(k.deadline))
	if _, a.err = io.WriteString(conn, text+"\r\n"+body); a.err != nil {
		conn.Close()
		return
	}
	a.sent = true
	r, err := http.ReadResponse(conn.reader, &http.Request{Method: k.method})
	if err != nil {
		a.err = err
		conn.Close()
		return
	}
	content, err := io.ReadAll(r.Body)
	a.status, a.header, a.body, a.err = r.StatusCode, r.Header, string(content), err
	conn.used, conn.idleSince = true, time.Now()
	if err != nil || r.Close || k.fresh {
		conn.Close()
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.conns[address] = append(c.conns[address], conn)
}

// newIDs returns the source of the identifiers of requests.
func newIDs() *atomic.Int64 {
	ids := &atomic.Int64{}
	ids.Store(rand.Int63())
	return ids
}
