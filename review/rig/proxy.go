package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to an address, and can be cut: then it holds back all bytes.
type proxy struct {
	listener net.Listener
	to       string

	mutex sync.Mutex
	// passes is closed while bytes are passed on, and replaced at a cut.
	passes chan struct{}
}

func startProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, passes: make(chan struct{})}
	close(p.passes)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	s, err := net.Dial("tcp4", p.to)
	if err != nil {
		return
	}
	defer s.Close()
	go func() {
		p.copy(s, c)
		s.Close()
	}()
	p.copy(c, s)
}

// copy copies bytes, those that are held back once the cut has healed.
func (p *proxy) copy(to io.Writer, from io.Reader) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.mutex.Lock()
		passes := p.passes
		p.mutex.Unlock()
		<-passes
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cut holds back all bytes from now on.
func (p *proxy) cut() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.passes = make(chan struct{})
}

// heal ends the cut.
func (p *proxy) heal() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	close(p.passes)
}
