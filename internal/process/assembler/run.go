package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"oriolecourse.example/oriolecourse/internal/process/server"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// Run runs the instance until it has left the fleet or a part has failed.
func (i *Instance) Run() error {
	var g run.Group
	i.addLoop(&g, i.refresh)
	i.addLoop(&g, i.poll)
	i.addLoop(&g, i.probe)
	if err := i.addServer(&g, i.options.Address, i.callers().Router()); err != nil {
		return trace.Wrap(err)
	}
	if err := i.addServer(&g, i.options.Admin, i.admin().Router()); err != nil {
		return trace.Wrap(err)
	}
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err := g.Run()
	if signal := (run.SignalError{}); errors.As(err, &signal) {
		return nil
	}
	return trace.Wrap(err)
}

// callers returns the interface for callers.
func (i *Instance) callers() *server.Callers {
	return &server.Callers{
		Place:    i.options.Place,
		Address:  i.options.Address,
		Settings: i.settings.Current,
		Answer:   i.answer,
		Handle:   i.Handle,
		Tracer:   i.options.Tracer,
	}
}

// admin returns the interface for operators.
func (i *Instance) admin() *server.Admin {
	return &server.Admin{
		Ready:   func() bool { return i.settings.Current() != nil && i.list.Current() != nil },
		Page:    i.options.Page,
		Cost:    i.accounts.Report,
		Explain: i.explain,
		Peers:   i.peers,
		Cut:     i.cut,
	}
}

// addLoop adds a part that runs until its done channel is closed.
func (i *Instance) addLoop(g *run.Group, loop func(done <-chan struct{}) error) {
	done := make(chan struct{})
	g.Add(func() error { return loop(done) }, func(error) { close(done) })
}

// addServer adds an HTTP server that listens from now on.
func (i *Instance) addServer(g *run.Group, address netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return trace.Wrap(err, "cannot listen on %s", address)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	g.Add(func() error { return s.Serve(l) }, func(error) { s.Close() })
	return nil
}
