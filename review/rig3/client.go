package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one request of a client on a new connection.
type call struct {
	method, path string
	body         string
	deadline     time.Duration
}

// answer is what the client saw. The status is 0 if there was no complete answer.
type answer struct {
	id        string
	status    int
	signature string
	took      time.Duration
	err       error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request to an instance and reads the answer.
func (f *fleet) send(i *instance, c call) answer {
	a := answer{id: newID()}
	start := time.Now()
	f.rec.line("sent     %s %s %s body=%d to %s", a.id, c.method, c.path, len(c.body), i.front())
	a.err = f.exchange(i, c, &a)
	a.took = time.Since(start)
	if a.err != nil {
		a.status = 0
	}
	f.rec.line("answered %s status=%d signature=%q took=%s err=%v", a.id, a.status, a.signature, a.took.Round(time.Millisecond), a.err)
	return a
}

func (f *fleet) exchange(i *instance, c call, a *answer) error {
	socket, err := net.DialTimeout("tcp4", i.front(), time.Second)
	if err != nil {
		return err
	}
	defer socket.Close()
	_ = socket.SetDeadline(time.Now().Add(c.deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", c.method, c.path, host, a.id, c.deadline.Milliseconds())
	if c.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	if _, err := io.Copy(socket, strings.NewReader(head+"\r\n"+c.body)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(socket), nil)
	if err != nil {
		return err
	}
	a.status, a.signature = response.StatusCode, response.Header.Get("Upstream-Signature")
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
