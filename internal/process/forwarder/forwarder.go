package forwarder

import (
	"context"
	"maps"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/connection/exchanger"
	"oriolecourse.example/oriolecourse/internal/connection/reserver"
	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/limiter"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
	"oriolecourse.example/oriolecourse/internal/process/sizer"
	"oriolecourse.example/oriolecourse/internal/request/admitter"
	"oriolecourse.example/oriolecourse/internal/request/placer"
	"oriolecourse.example/oriolecourse/internal/version/router"
)

// Dialect describes the header fields that clients and targets use.
type Dialect struct {
	// RequestID names the header field with the identifier of a request. Targets
	// repeat the field in their responses.
	RequestID string
	// Deadline names the field with the milliseconds for which a client waits.
	Deadline string
	// Target names the field with the identifier of the chosen target. Any other
	// target rejects the request.
	Target string
	// RetryAfter names the field with the seconds after which a client may retry.
	RetryAfter string
	// NotExecuted reports whether a response says that the target did not run the request.
	NotExecuted func(r *sender.Response) bool
	// TargetName returns the identifier of the target that sent a response. It is
	// empty if the response has none.
	TargetName func(h http.Header) string
	// Load returns the load that a response reports, and whether it reports one.
	Load func(h http.Header) (placer.Load, bool)
	// Statement returns what a target says of itself in a response.
	Statement func(r *sender.Response) Statement
}

// Budget bounds the load that the whole fleet adds to the requests of clients.
type Budget struct {
	// Within any RetryWindow, the fleet makes at most RetryRatio times the number of
	// client requests, plus RetryAllowance, attempts after the first. This holds for
	// each service by itself. A retry after an attempt that was not sent does not
	// count.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// ProbeRate is the greatest number of probes per target and second.
	ProbeRate float64
	// A cold target gets at most WarmupOvershoot times the WarmupRate of its service, plus
	// WarmupSlack, requests in any second. If WarmupOvershoot is 0, there is no bound.
	WarmupOvershoot, WarmupSlack float64
}

// Options configures a forwarder.
type Options struct {
	Dialect Dialect
	// Zone is the availability zone of the instance.
	Zone string
	// LocalAddress is the address from which targets are reached; the zero value means any.
	LocalAddress netip.Addr
	Budget       Budget
	// FirstStart means that no instance has run before, so that nothing of the budget is used.
	FirstStart bool
	// Memory counts what is held of streamed responses, and WholeMemory the responses that are
	// read as a whole. Without WholeMemory those have no common bound.
	Memory, WholeMemory *reserver.Reserver
	// Table returns the routing table in force, or nil before the first one.
	Table func() *router.Table
	// FleetSize returns the number of instances that may be running, this one included. They
	// share the budgets and the connections to a target. Probes and connections are divided by
	// the known ones: with smaller shares right after a start of all, requests are placed
	// badly for many seconds.
	FleetSize func(now time.Time) sizer.Size
	// Weight returns how many times an equal share of the fleet's probes this instance uses,
	// as it is named to callers that many times as often. If it is nil, that is 1.
	Weight func() float64
	// SpreadRumor sends the other instances a rumor about a request that may crash
	// targets. The rumor says either that a target did not complete its response to
	// the request, which makes the request a suspect, or that a suspect got a complete
	// response.
	SpreadRumor func(r quarantiner.Rumor, now time.Time)
	// OnTargetReplaced is called when a target with another name responds at the
	// address of a run. The key identifies the run.
	OnTargetReplaced func(key string, now time.Time)
	// OnTargetLeaving is called when a response of a run says that it takes no new requests.
	OnTargetLeaving func(key string, now time.Time)
	// OnTargetWarmup is called when a health response of a run says how long it stays cold.
	// It reports whether that is news.
	OnTargetWarmup func(service, key string, left time.Duration, now time.Time) bool
	// LimitOwner returns the owner of a run in a zone and whether it is this instance. The
	// owner counts the messages of all instances to the run if the run names a limit.
	LimitOwner func(key, zone string) (o limiter.Owner, own bool)
	// AskPermit asks the owner of a run in a zone whether a message may be sent to it.
	AskPermit func(ctx context.Context, owner netip.AddrPort, key, zone string, known limiter.Fact) (limiter.Permit, error)
	// SpreadLimit tells the other instances the limit that a run of a target names.
	SpreadLimit func(service, key string, rate float64, now time.Time)
	// OnCutOff is called when the instance is found to be cut off from the targets of all
	// services, and when the cut has ended.
	OnCutOff func(cutOff bool, now time.Time)
	// CanRelay reports whether another instance may serve the requests of this one.
	CanRelay func() bool
	// Relay lets another instance serve a request by a route. The response is nil unless the
	// result is RelayAnswered.
	Relay func(ctx context.Context, q *acceptor.Request, route *router.Route) (*acceptor.Response, RelayResult)
	// CanSearch reports whether an instance in a remote zone can be asked for
	// targets with free slots.
	CanSearch func(zone string, now time.Time) bool
	// Search asks an instance in the zone for such targets.
	Search func(ctx context.Context, zone, service string) []placer.TargetOffer
	Logger log.Logger
	Scope  tally.Scope
}

// Forwarder sends client requests to targets. Its methods are safe for concurrent
// use.
type Forwarder struct {
	options Options
	// started is when the process started, or a window of the retry budget earlier if no
	// instance has run before.
	started     time.Time
	exchanger   *exchanger.Exchanger
	quarantiner *quarantiner.Table
	limiter     *limiter.Limiter
	admitter    *admitter.Admitter
	misread     misread
	counters    counters

	// servicesByAddress holds the service of each target that may get new requests.
	servicesByAddress atomic.Pointer[map[netip.AddrPort]*service]
	// cutOff means that the instance is cut off from the targets of all services.
	cutOff atomic.Bool
	// refusing means that the instance stops and that no further request is begun.
	refusing atomic.Bool
	// sentByZone holds the number of requests in progress at the targets of each
	// availability zone, an *atomic.Int64 by the zone's name.
	sentByZone sync.Map

	budget atomic.Pointer[Budget]

	// mutex guards services and stopEnd.
	mutex    sync.Mutex
	services map[string]*service
	// stopEnd is the end of the instance's stop; zero while it does not stop.
	stopEnd time.Time
}

// New returns a forwarder without targets.
func New(o Options) *Forwarder {
	if o.WholeMemory == nil {
		o.WholeMemory = reserver.New(math.MaxInt64, nil)
	}
	f := &Forwarder{
		options:     o,
		started:     time.Now(),
		exchanger:   exchanger.New(),
		quarantiner: quarantiner.New(quarantiner.DefaultLimits),
		limiter:     limiter.New(),
		admitter:    admitter.New(),
		counters:    newCounters(o.Scope),
		services:    map[string]*service{},
	}
	if o.FirstStart {
		f.started = f.started.Add(-o.Budget.RetryWindow)
	}
	f.budget.Store(&o.Budget)
	f.exchanger.LocalAddress, f.exchanger.Memory, f.exchanger.Whole = o.LocalAddress, o.Memory, o.WholeMemory
	f.exchanger.OnConnect = func(netip.AddrPort) { f.counters.connections.Inc(1) }
	f.exchanger.OnContact = f.recordContact
	return f
}

// SetTargets sets the runs that may get new requests, by service. A service that
// is not in the map has none.
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
	listed := map[string]bool{}
	for _, runs := range usable {
		for i := range runs {
			listed[runs[i].Key()] = true
		}
	}
	f.setLinks(usable)
	isListed := func(key string) bool { return listed[key] }
	f.limiter.Retain(isListed, now)
	f.misread.retain(isListed)
	f.admitter.Retain(isListed, now)
}

// ReceiveRumor applies the rumor of a peer that a target did not complete its response
// to a request, or that a suspect request was cleared.
func (f *Forwarder) ReceiveRumor(r quarantiner.Rumor, now time.Time) { f.quarantiner.Receive(r, now) }

// StopAt prepares for the end of the instance: no request is sent to a target that is not
// expected to end by the given time. One that cannot is rejected at once, so that its client
// can go to another instance.
func (f *Forwarder) StopAt(end, now time.Time) {
	f.mutex.Lock()
	f.stopEnd = end
	f.mutex.Unlock()
	for _, s := range f.allServices() {
		s.stopAt(end, now)
	}
}

// RefuseRequests ends the acceptance of requests because the instance stops. Those that have
// begun go on.
func (f *Forwarder) RefuseRequests() { f.refusing.Store(true) }

// CloseIdleConnections closes target connections that have been idle for too long.
func (f *Forwarder) CloseIdleConnections(now time.Time) { f.exchanger.CloseExpired(now) }

func (f *Forwarder) service(name string) *service {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s := f.services[name]
	if s == nil {
		s = newService(f, name)
		s.placer.StopAt(f.stopEnd)
		f.services[name] = s
	}
	return s
}

// SetBudget replaces the budget. Retries and probes that were granted under the
// old budget still count. A service that is already in use keeps its RetryWindow.
func (f *Forwarder) SetBudget(b Budget) { f.budget.Store(&b) }

// Stats describes one service for operators.
type Stats struct {
	Service string
	// Waiting is the number of requests that wait for a target. Retries is the
	// number of retries that the budget would grant now.
	Waiting, Retries int
}

// Stats describes all services.
func (f *Forwarder) Stats(now time.Time) []Stats {
	var all []Stats
	for _, s := range f.allServices() {
		all = append(all, s.stats(now))
	}
	return all
}

func (f *Forwarder) allServices() []*service {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Collect(maps.Values(f.services))
}

// countSent counts a request that is sent to a target of a zone, until the returned function
// is called.
func (f *Forwarder) countSent(zone string) (ended func()) {
	n, _ := f.sentByZone.LoadOrStore(zone, &atomic.Int64{})
	n.(*atomic.Int64).Add(1)
	return func() { n.(*atomic.Int64).Add(-1) }
}

// RequestsInZones returns the number of requests in progress at the targets of some zones.
func (f *Forwarder) RequestsInZones(zones ...string) int {
	sum := 0
	for _, z := range zones {
		if n, found := f.sentByZone.Load(z); found {
			sum += int(n.(*atomic.Int64).Load())
		}
	}
	return sum
}

// LimitedTargets returns the number of runs that name a limit.
func (f *Forwarder) LimitedTargets() int { return f.limiter.Count() }

// RestrictedTargets returns the number of runs that are paused and of those that are cold.
func (f *Forwarder) RestrictedTargets(now time.Time) (paused, cold int) { return f.admitter.Count(now) }

// Connections returns the number of open connections to targets.
func (f *Forwarder) Connections() int { return f.exchanger.OpenConnections() }
