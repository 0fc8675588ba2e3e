package assembler

import (
	"net"
	"net/http"
	"net/netip"

	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"oriolecourse.example/oriolecourse/internal/process/server"
)

// Run runs the instance until it has left the fleet or one of its parts fails.
func (i *Instance) Run() error {
	var g run.Group
	i.addLoop(&g, i.refresh)
	i.addLoop(&g, i.watchPauses)
	i.addLoop(&g, i.runProbes)
	w := i.newWatcher()
	g.Add(w.Run, func(error) { w.Stop() })
	i.addLoop(&g, func(done <-chan struct{}) error { return i.spreadOutage(w, done) })
	g.Add(i.relayer.Run, func(error) { i.relayer.Stop() })
	if err := i.addAdmin(&g, i.options.Admin, i.admin().Router()); err != nil {
		return trace.Wrap(err)
	}
	l := newLifecycle(i)
	g.Add(l.run, l.stop)
	return trace.Wrap(g.Run())
}

// callers returns the HTTP interface for callers.
func (i *Instance) callers() *server.Callers {
	return &server.Callers{
		Place:     i.options.Place,
		Address:   i.options.Address,
		Settings:  i.settings.Current,
		Addresses: i.addressResponse,
		Leaving:   i.leaving.Load,
		Handle:    i.Handle,
		Tracer:    i.options.Tracer,
	}
}

// admin returns the HTTP interface for operators.
func (i *Instance) admin() *server.Admin {
	return &server.Admin{
		Ready:          func() bool { return i.ready.Load() && !i.leaving.Load() },
		MetricsHandler: i.options.MetricsHandler,
		Cost:           i.costReport,
		Explain:        i.explain,
		Peers:          i.peers,
		SetBlocked:     i.setPeerBlocked,
	}
}

// addLoop adds a part that runs until its done channel is closed.
func (i *Instance) addLoop(g *run.Group, loop func(done <-chan struct{}) error) {
	done := make(chan struct{})
	g.Add(func() error { return loop(done) }, func(error) { close(done) })
}

// addAdmin adds the HTTP server for operators. It listens before addAdmin returns.
func (i *Instance) addAdmin(g *run.Group, address netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return trace.Wrap(err, "cannot listen on %s", address)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error { return s.Serve(l) }, func(error) { s.Close() })
	return nil
}
