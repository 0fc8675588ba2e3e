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
	// incarnation is random, so that no two starts of the process share one. It is never
	// 0, because peers ignore members with incarnation 0.
	incarnation uint64

	settings         *adopter.Adopter[resolver.Snapshot]
	list             *adopter.Adopter[lister.List]
	tracker          *tracker.Tracker
	services         *services
	operationTable   *executor.Table
	quarantine       *quarantiner.Table
	costs            *accountant.Accountant
	counters         outcomeCounters
	relayer          *relayer.Relayer
	loads            *steerer.Loads
	tokens           *tokenCache
	sender           *sender.Sender
	handler          *handler.Handler
	operationHandler *handler.OperationHandler

	// watchdog detects pauses of the process.
	watchdog *watchdog.Watchdog
	// applyMutex serializes apply. It guards planner and the fields of service whose
	// comments name it.
	applyMutex sync.Mutex
	planner    planner
	// plan holds the homes of all services.
	plan atomic.Pointer[steerer.Plan]
	// ready is set when callers are served, leaving when the instance begins to stop.
	ready, leaving atomic.Bool
	// drainTimes computes how long a graceful shutdown must wait.
	drainTimes drainTimes
	// blockedPeers holds the peer addresses with which no messages are exchanged.
	blockedPeers sync.Map
	// platformOutages maps the peer address of an instance that lost the platform to
	// the time at which its report expires.
	platformOutages sync.Map
	// handovers holds the handovers that ended incarnations have sent to this instance.
	// successors maps an ended incarnation to the instance that holds its handover, as
	// reported by rumors.
	handovers  *executor.Handovers
	successors sync.Map
	// targetServices maps each target in use to its service.
	targetServices atomic.Pointer[map[netip.AddrPort]tracker.Service]
	// refreshSignal starts a refresh. It buffers one signal.
	refreshSignal chan struct{}
}

// New returns an instance that is not started.
func New(o Options) *Instance {
	now := time.Now()
	i := &Instance{
		options:       o,
		incarnation:   rand.Uint64() | 1,
		settings:      adopter.NewSettings(),
		list:          adopter.NewList(),
		tracker:       tracker.New(),
		services:      newServices(o.Zone, o.Baseline),
		quarantine:    quarantiner.New(quarantiner.DefaultLimits),
		costs:         accountant.New(o.Address, o.Zone, now),
		counters:      newOutcomeCounters(o.Scope),
		loads:         steerer.NewLoads(),
		handovers:     executor.NewHandovers(),
		watchdog:      watchdog.New(now),
		refreshSignal: make(chan struct{}, 1),
	}
	i.operationTable = executor.New(o.Peer, i.incarnation, executorLimits(nil), now)
	i.relayer = i.newRelayer()
	i.tokens = &tokenCache{
		self:    o.Peer,
		table:   i.operationTable,
		forward: i.relayer.Forward,
		cached:  map[netip.AddrPort]cachedToken{},
	}
	i.sender = &sender.Sender{DialTimeout: dialTimeout, OnConnect: i.connectionOpened}
	i.handler = i.newHandler()
	i.operationHandler = &handler.OperationHandler{Table: i.operationTable, Handovers: i.handovers, Handler: i.handler, Forward: i.forward}
	i.settings.OnReject = func(r adopter.Rejection) { i.documentRejected("settings", r) }
	i.list.OnReject = func(r adopter.Rejection) { i.documentRejected("list", r) }
	i.settings.OnChange = func(s *resolver.Snapshot, stamp adopter.Stamp, now time.Time) {
		i.drainTimes.update(s, now)
		i.documentAdopted("settings", stamp, now)
	}
	i.list.OnChange = func(l *lister.List, stamp adopter.Stamp, now time.Time) {
		i.spreadDraining(i.tracker.ApplyList(l, now))
		i.relayer.SetListed(l, now)
		i.documentAdopted("list", stamp, now)
	}
	return i
}

func (i *Instance) newHandler() *handler.Handler {
	return &handler.Handler{
		Dispatcher:     i.dispatcher,
		Paused:         i.watchdog.Expired,
		Quarantine:     i.quarantine,
		Send:           i.sender.Send,
		TargetStart:    i.targetStart,
		ObserveHeaders: i.observeHeaders,
		SpreadRumor:    i.spreadQuarantineRumor,
		AddCost:        i.addCost,
		Clock:          time.Now,
		Tracer:         i.options.Tracer,
	}
}

// documentAdopted logs a document that has come into force, announces it to the peers
// and triggers a refresh.
func (i *Instance) documentAdopted(kind string, stamp adopter.Stamp, _ time.Time) {
	i.options.Scope.Tagged(map[string]string{"document": kind}).Counter("adopted").Inc(1)
	i.relayer.Announce()
	_ = level.Info(i.options.Logger).Log("msg", "adopted", "document", kind, "version", stamp.Version, "digest", stamp.Digest)
	i.triggerRefresh()
}

// documentRejected logs a document that was rejected.
func (i *Instance) documentRejected(kind string, r adopter.Rejection) {
	i.options.Scope.Tagged(map[string]string{"document": kind}).Counter("rejected").Inc(1)
	_ = level.Warn(i.options.Logger).Log("msg", "rejected", "document", kind, "version", r.Stamp.Version, "reason", r.Reason)
}

// triggerRefresh requests a refresh without waiting for it.
func (i *Instance) triggerRefresh() {
	select {
	case i.refreshSignal <- struct{}{}:
	default:
	}
}

// Handle returns the outcome of one request of a caller.
func (i *Instance) Handle(ctx context.Context, r *handler.Request) *handler.Outcome {
	var o *handler.Outcome
	if r.Policy.AtMostOnce {
		o = i.operationHandler.Handle(ctx, r)
	} else {
		o = i.handler.Handle(ctx, r)
	}
	i.recordOutcome(r, o)
	return o
}

// targetStart returns the start id of a target's current run, or "" if it is unknown.
func (i *Instance) targetStart(r *handler.Request, target netip.AddrPort) string {
	t, _ := i.tracker.Target(tracker.Key{Place: r.Policy.Place, Service: r.Policy.Service, Address: target})
	return t.Start
}

// observeHeaders passes the headers of a target's response to the tracker.
func (i *Instance) observeHeaders(r *handler.Request, target netip.AddrPort, h http.Header, sent, now time.Time) {
	i.observeTarget(tracker.Key{Place: r.Policy.Place, Service: r.Policy.Service, Address: target}, h, sent, now)
}

// observeTarget passes the start id and the state that a target reported to the
// tracker. If the run began to drain, the peers are told.
func (i *Instance) observeTarget(k tracker.Key, h http.Header, sent, now time.Time) {
	rumors := i.tracker.Observe(tracker.Observation{
		Key:   k,
		Start: h.Get(handler.HeaderStart),
		State: tracker.ParseState(h.Get(handler.HeaderState)),
		Sent:  sent,
	}, now)
	if len(rumors) == 0 {
		return
	}
	i.spreadDraining(rumors)
	i.triggerRefresh()
}

// executorLimits returns the limits of the operation table under a policy, or the
// defaults if p is nil. A table that serves several policies starts from the defaults,
// and raiseLimits raises them for each policy.
func executorLimits(p *resolver.Policy) executor.Limits {
	l := executor.Limits{
		EpochDuration:    defaultEpochDuration,
		TokenGrace:       defaultTokenGrace,
		RecordRetention:  defaultRecordRetention,
		EpochCapacity:    executor.DefaultEpochCapacity,
		MaxEpochs:        executor.DefaultMaxEpochs,
		MaxResponseBytes: executor.DefaultMaxResponseBytes,
	}
	if p != nil {
		l.EpochDuration, l.TokenGrace, l.RecordRetention = p.EpochDuration, p.HomesTTL, p.OutcomeRetention
	}
	return l
}

// The default limits of the operation table. They apply until the first settings are in
// force, and are the least values afterwards.
const (
	defaultEpochDuration   = 30 * time.Second
	defaultTokenGrace      = 5 * time.Second
	defaultRecordRetention = 2 * time.Minute
)
