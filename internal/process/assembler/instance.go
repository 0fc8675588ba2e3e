package assembler

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/accountant"
	"oriolecourse.example/oriolecourse/internal/process/adopter"
	"oriolecourse.example/oriolecourse/internal/process/executor"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/process/steerer"
	"oriolecourse.example/oriolecourse/internal/process/tracker"
	"oriolecourse.example/oriolecourse/internal/process/watchdog"
	"oriolecourse.example/oriolecourse/internal/request/handler"
	"oriolecourse.example/oriolecourse/internal/version/lister"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// dialTimeout bounds the dialing of a connection to a target.
const dialTimeout = 500 * time.Millisecond

// Instance holds the parts of one running instance.
type Instance struct {
	options Options
	// incarnation differs between any two starts of the process; never 0.
	incarnation uint64

	settings   *adopter.Adopter[resolver.Snapshot]
	list       *adopter.Adopter[lister.List]
	tracker    *tracker.Tracker
	services   *services
	table      *executor.Table
	quarantine *quarantiner.Table
	accounts   *accountant.Accountant
	counters   counters
	relayer    *relayer.Relayer
	loads      *steerer.Loads
	tokens     *tokens
	sender     *sender.Sender
	handler    *handler.Handler
	operator   *handler.OperationHandler

	// guard tells whether the process has been paused.
	guard *watchdog.Watchdog
	// applying orders the uses of planner.
	applying sync.Mutex
	planner  planner
	// plan holds the homes of all services.
	plan atomic.Pointer[steerer.Plan]
	// ready is set when callers are served, leaving when the instance will stop.
	ready, leaving atomic.Bool
	// horizon tells how long a stop has to wait.
	horizon horizon
	// cuts holds the peers with which the exchange is forbidden.
	cuts sync.Map
	// outages holds, by peer, until when an instance counts as without the platform.
	outages sync.Map
	// legacies answers for executors that have ended, heirs holds who else does.
	legacies *executor.Handovers
	heirs    sync.Map
	// homes names the service of each target in use.
	homes atomic.Pointer[map[netip.AddrPort]tracker.Service]
	// changed wakes the refresher; it has room for one signal.
	changed chan struct{}
}

// New puts an instance together without starting it.
func New(o Options) *Instance {
	now := time.Now()
	i := &Instance{
		options:     o,
		incarnation: rand.Uint64() | 1,
		settings:    adopter.NewSettings(),
		list:        adopter.NewList(),
		tracker:     tracker.New(),
		services:    newServices(o.Zone, o.Baseline),
		quarantine:  quarantiner.New(quarantiner.DefaultLimits),
		accounts:    accountant.New(o.Address, o.Zone, now),
		counters:    newCounters(o.Scope),
		loads:       steerer.NewLoads(),
		legacies:    executor.NewHandovers(),
		guard:       watchdog.New(now),
		changed:     make(chan struct{}, 1),
	}
	i.table = executor.New(o.Peer, i.incarnation, limits(nil), now)
	i.relayer = i.newRelayer()
	i.tokens = &tokens{
		self:    o.Peer,
		table:   i.table,
		forward: i.relayer.Forward,
		kept:    map[netip.AddrPort]keptToken{},
	}
	i.sender = &sender.Sender{DialTimeout: dialTimeout, OnConnect: i.opened}
	i.handler = i.newHandler()
	i.operator = &handler.OperationHandler{Table: i.table, Handovers: i.legacies, Handler: i.handler, Forward: i.forward}
	i.settings.OnReject = func(r adopter.Rejection) { i.rejected("settings", r) }
	i.list.OnReject = func(r adopter.Rejection) { i.rejected("list", r) }
	i.settings.OnChange = func(s *resolver.Snapshot, p adopter.Stamp, now time.Time) {
		i.horizon.change(s, now)
		i.adopted("settings", p, now)
	}
	i.list.OnChange = func(l *lister.List, p adopter.Stamp, now time.Time) {
		i.tellLeaving(i.tracker.ApplyList(l, now))
		i.relayer.SetListed(l, now)
		i.adopted("list", p, now)
	}
	return i
}

func (i *Instance) newHandler() *handler.Handler {
	return &handler.Handler{
		Dispatcher:     i.dispatcher,
		Paused:         i.guard.Expired,
		Quarantine:     i.quarantine,
		Send:           i.sender.Send,
		TargetStart:    i.start,
		ObserveHeaders: i.observe,
		SpreadRumor:    i.tellLoss,
		AddCost:        i.account,
		Clock:          time.Now,
		Tracer:         i.options.Tracer,
	}
}

// adopted logs a new document and has it put into force.
func (i *Instance) adopted(kind string, p adopter.Stamp, _ time.Time) {
	i.options.Scope.Tagged(map[string]string{"document": kind}).Counter("adopted").Inc(1)
	i.relayer.Announce()
	_ = level.Info(i.options.Logger).Log("msg", "adopted", "document", kind, "version", p.Version, "digest", p.Digest)
	i.wake()
}

// rejected logs a document that does not come into force.
func (i *Instance) rejected(kind string, r adopter.Rejection) {
	i.options.Scope.Tagged(map[string]string{"document": kind}).Counter("rejected").Inc(1)
	_ = level.Warn(i.options.Logger).Log("msg", "rejected", "document", kind, "version", r.Stamp.Version, "reason", r.Reason)
}

// wake has the refresher run soon.
func (i *Instance) wake() {
	select {
	case i.changed <- struct{}{}:
	default:
	}
}

// Handle carries one request of a caller.
func (i *Instance) Handle(ctx context.Context, r *handler.Request) *handler.Outcome {
	var o *handler.Outcome
	if r.Policy.AtMostOnce {
		o = i.operator.Handle(ctx, r)
	} else {
		o = i.handler.Handle(ctx, r)
	}
	i.settle(r, o)
	return o
}

// start names the run of a target's process.
func (i *Instance) start(r *handler.Request, target netip.AddrPort) string {
	t, _ := i.tracker.Target(tracker.Key{Place: r.Policy.Place, Service: r.Policy.Service, Address: target})
	return t.Start
}

// observe hands what a target said of itself to the tracker.
func (i *Instance) observe(r *handler.Request, target netip.AddrPort, h http.Header, sent, now time.Time) {
	i.evidence(tracker.Key{Place: r.Policy.Place, Service: r.Policy.Service, Address: target}, h, sent, now)
}

func (i *Instance) evidence(k tracker.Key, h http.Header, sent, now time.Time) {
	told := i.tracker.Observe(tracker.Observation{
		Key:   k,
		Start: h.Get(handler.HeaderStart),
		State: tracker.ParseState(h.Get(handler.HeaderState)),
		Sent:  sent,
	}, now)
	if len(told) == 0 {
		return
	}
	i.tellLeaving(told)
	i.wake()
}

// limits returns the bounds of the executor that the settings give.
func limits(p *resolver.Policy) executor.Limits {
	l := executor.Limits{
		EpochDuration:    defaultEpoch,
		TokenGrace:       defaultKeep,
		RecordRetention:  defaultForget,
		EpochCapacity:    executor.DefaultEpochCapacity,
		MaxEpochs:        executor.DefaultMaxEpochs,
		MaxResponseBytes: executor.DefaultMaxResponseBytes,
	}
	if p != nil {
		l.EpochDuration, l.TokenGrace, l.RecordRetention = p.EpochDuration, p.HomesTTL, p.OutcomeRetention
	}
	return l
}

// The bounds of the executor until the first settings are in force.
const (
	defaultEpoch  = 30 * time.Second
	defaultKeep   = 5 * time.Second
	defaultForget = 2 * time.Minute
)
