package forwarder

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/connection/exchanger"
	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
	"oriolecourse.example/oriolecourse/internal/request/placer"
	"oriolecourse.example/oriolecourse/internal/version/router"
)

// Dialect holds what clients and targets call things.
type Dialect struct {
	// RequestID names the header field with the identifier of a request. Targets repeat it.
	RequestID string
	// Deadline names the field with the milliseconds that a client waits.
	Deadline string
	// Target names the field that makes any other target turn a request away.
	Target string
	// RetryAfter names the field that tells a client when to come back, in seconds.
	RetryAfter string
	// NotExecuted reports whether an answer says that the target did not run the request.
	NotExecuted func(a *sender.Response) bool
	// TargetName returns the identifier of the target that gave an answer; empty if it
	// tells none.
	TargetName func(h http.Header) string
	// Load reads the load that a target reports.
	Load func(h http.Header) (placer.Load, bool)
}

// Budget holds the fleet's bounds on what is added to the clients' requests.
type Budget struct {
	// RetryRatio, Allowance and Window bound attempts beyond the first.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// ProbeRate is the number of probes per target and second.
	ProbeRate float64
}

// Options holds what a forwarder is built from.
type Options struct {
	Dialect Dialect
	// Zone is the availability zone of the instance.
	Zone   string
	Budget Budget
	// Table returns the routing table in force, or nil.
	Table func() *router.Table
	// Fleet returns the number of live instances, this one included.
	Fleet func() int
	// Lost tells the other instances that a request was lost with a target, or
	// that it was answered after all.
	Lost func(r quarantiner.Rumor, now time.Time)
	// Left tells that a target with another name answered at a run's address.
	Left func(key string, now time.Time)
	// Scouted reports whether an instance of another zone can be asked for room
	// there; Seek asks it.
	Scouted func(zone string, now time.Time) bool
	Seek    func(ctx context.Context, zone, service string) []placer.TargetOffer
	Logger  log.Logger
	Scope   tally.Scope
}

// Forwarder carries requests. Its methods may be called concurrently.
type Forwarder struct {
	options     Options
	exchanger   *exchanger.Exchanger
	quarantiner *quarantiner.Table
	splitter    *router.Splitter
	counters    counters

	// bounds are the fleet's bounds in force.
	bounds atomic.Pointer[Budget]

	mutex    sync.Mutex
	services map[string]*service
}

// New returns a forwarder that knows no targets.
func New(o Options) *Forwarder {
	f := &Forwarder{
		options:     o,
		exchanger:   exchanger.New(),
		quarantiner: quarantiner.New(quarantiner.DefaultLimits),
		splitter:    router.NewSplitter(rand.IntN),
		counters:    newCounters(o.Scope),
		services:    map[string]*service{},
	}
	f.bounds.Store(&o.Budget)
	f.exchanger.OnConnect = func(netip.AddrPort) { f.counters.connections.Inc(1) }
	return f
}

// SetTargets replaces the runs that may get new requests, by service.
func (f *Forwarder) SetTargets(usable map[string][]registrar.UsableRun, now time.Time) {
	f.mutex.Lock()
	names := map[string]bool{}
	for name := range f.services {
		names[name] = true
	}
	for name := range usable {
		names[name] = true
	}
	f.mutex.Unlock()
	for name := range names {
		f.service(name).setTargets(usable[name], now)
	}
}

// Hear takes in what a peer told of a lost request.
func (f *Forwarder) Hear(r quarantiner.Rumor, now time.Time) { f.quarantiner.Receive(r, now) }

// Sweep closes connections that have been idle for too long.
func (f *Forwarder) Sweep(now time.Time) { f.exchanger.CloseExpired(now) }

func (f *Forwarder) service(name string) *service {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s := f.services[name]
	if s == nil {
		s = newService(f, name)
		f.services[name] = s
	}
	return s
}

// SetBudget puts other bounds in force. What was used under the old ones counts;
// the window stays as it was.
func (f *Forwarder) SetBudget(b Budget) { f.bounds.Store(&b) }

// Figures are figures of one service for operators.
type Figures struct {
	Service string
	// Waiting is the number of requests that wait for a target, Retries that of
	// further attempts that the budget grants now.
	Waiting, Retries int
}

// Figures returns the figures of all services.
func (f *Forwarder) Figures(now time.Time) []Figures {
	f.mutex.Lock()
	services := slices.Collect(maps.Values(f.services))
	f.mutex.Unlock()
	var all []Figures
	for _, s := range services {
		all = append(all, s.figures(now))
	}
	return all
}

// Connections returns the number of open connections to targets.
func (f *Forwarder) Connections() int { return f.exchanger.OpenConnections() }
