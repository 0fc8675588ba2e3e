package composer

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/connection/reserver"
	"oriolecourse.example/oriolecourse/internal/process/adopter"
	"oriolecourse.example/oriolecourse/internal/process/assessor"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/director"
	"oriolecourse.example/oriolecourse/internal/process/forwarder"
	"oriolecourse.example/oriolecourse/internal/process/limiter"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/process/seeker"
	"oriolecourse.example/oriolecourse/internal/process/sizer"
	"oriolecourse.example/oriolecourse/internal/process/syncer"
	"oriolecourse.example/oriolecourse/internal/version/lister"
	"oriolecourse.example/oriolecourse/internal/version/router"
)

const (
	// maintenanceInterval is the time between two checks for expired runs and idle
	// connections.
	maintenanceInterval = 250 * time.Millisecond
	// pingPeriod is the time between two pings that an instance sends. A zone has a
	// handful of instances, so a round of pings over them takes about one second. The
	// directory stops naming an instance that does not respond within one round.
	pingPeriod = 200 * time.Millisecond
	// remotePingPeriods is the number of ping periods between pings to remote zones.
	// The state of their instances matters only while few instances of the local zone
	// are left.
	remotePingPeriods = 60
	// handlerHeaderTimeout bounds reading the header of a request to Options.Handlers.
	// handlerIdleTimeout bounds the time between two requests on a connection. Clients
	// query the directory about once per second, and their connections stay open
	// between two queries.
	handlerHeaderTimeout = time.Second
	handlerIdleTimeout   = 10 * time.Second
	// memoryShare is the share of Options.MemoryBytes that the bodies of requests and
	// responses may use. Documents, connections and garbage need memory too.
	memoryShare = 0.5
	// requestMemoryShare and responseMemoryShare are the parts for request bodies and for what
	// is read of responses. Their sum is less than memoryShare, so that neither leaves other
	// requests without room. aheadMemoryShare is the part of the latter for what is read ahead
	// of slow clients.
	requestMemoryShare  = 0.35
	responseMemoryShare = 0.14
	aheadMemoryShare    = 0.1
	// reservedFiles is the number of file descriptors that are not used for client
	// connections. They are left for connections to targets, peers and the platform,
	// and for Options.Handlers.
	reservedFiles = 1000
)

// Source reads the platform's data and passes it to a Sink.
type Source struct {
	// Refresh reads all data again.
	Refresh func(ctx context.Context) error
	// List reads all data as it was some seconds ago at most, for a fraction of the cost
	// of Refresh.
	List func(ctx context.Context) error
	// Await waits for changes and reads them. It returns after the wait if there are
	// none.
	Await func(ctx context.Context, wait time.Duration) error
}

// Options configures an instance.
type Options struct {
	// Front is the address that serves clients. Peer is the address at which the other
	// instances reach this one.
	Front, Peer netip.AddrPort
	// PeerListen is the address to accept other instances on if connections to Peer
	// are forwarded to it. The zero value means Peer.
	PeerListen netip.AddrPort
	// TargetsFrom is the address from which targets are reached; the zero value means any.
	TargetsFrom netip.Addr
	Zone        string
	// Zones is the number of availability zones of the fleet; 0 if unknown.
	Zones int
	// Seeds are the peer addresses to try first. They may be outdated.
	Seeds   []netip.AddrPort
	Keys    framer.Keys
	Dialect forwarder.Dialect
	Budget  forwarder.Budget
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// Drain is how long a target serves after its entry was removed; 0 if unknown.
	Drain time.Duration
	// FirstStart means that the whole installation starts for the first time and has no
	// clients yet.
	FirstStart bool
	// MemoryBytes is the memory that the process may use, in bytes. MaxFiles is the
	// greatest number of file descriptors.
	MemoryBytes int64
	// Resources is the share of the processor and the rate of the network link; zero if
	// unknown.
	Resources assessor.Resources
	MaxFiles  int
	// NewSource returns the reader of the platform's data, which passes the data to
	// the sink.
	NewSource func(s Sink) Source
	// Handlers returns further HTTP handlers by listen address, for example for the
	// platform's health checks.
	Handlers func(i *Instance) map[netip.AddrPort]http.Handler
	Logger   log.Logger
	Scope    tally.Scope
}

// Sink accepts data that was read from the platform. OfferTable accepts the settings
// as a routing table, OfferList the list of targets. An error means that the data
// was rejected.
type Sink struct {
	OfferTable func(t *router.Table, now time.Time) error
	OfferList  func(l *registrar.List, now time.Time) error
	// CurrentAsOf returns when the data that this instance holds was last known to be current,
	// by its own call or by that of another instance of the zone; zero if it never was.
	CurrentAsOf func() time.Time
}

// Instance is one instance of the load balancer.
type Instance struct {
	options   Options
	self      lister.Instance
	tables    *adopter.Adopter[router.Table]
	lists     *adopter.Adopter[registrar.List]
	numbering registrar.Numbering
	// warmupRates holds the rate of each service by which the targets were last updated. Only
	// tableChanged uses it.
	warmupRates map[string]float64
	registrar   *registrar.Registrar
	forwarder   *forwarder.Forwarder
	// targetsMutex orders the updates of the forwarder's targets, so that an older state of
	// the registrar never replaces a newer one.
	targetsMutex sync.Mutex
	relayer      *relayer.Relayer
	syncer       *syncer.Syncer
	seeker       *seeker.Seeker
	// limitOwners holds the owners of the targets that name limits.
	limitOwners limiter.Owners
	acceptor    *acceptor.Acceptor
	// memory counts the bodies of requests and responses.
	memory *reserver.Reserver
	// startTime is the time at which New was called.
	startTime time.Time
	// leaving is set once shutdown has begun.
	leaving atomic.Bool
	// ready is set once and never cleared.
	ready atomic.Bool
	// caughtUp is set once a peer has sent its documents and rumors.
	caughtUp atomic.Bool
	// platformAwaited is set once the first call to the platform has ended or taken too long.
	platformAwaited atomic.Bool
	// incarnation identifies this run of the instance; it is never 0.
	incarnation uint64
	// assessor measures this instance, fleet holds what all instances tell of themselves.
	assessor *assessor.Assessor
	fleet    assessor.Fleet
	// weight holds the weight of this instance relative to the mean of all, as the bits of a
	// float64.
	weight atomic.Uint64
	// requests counts the requests of clients that have ended.
	requests atomic.Uint64
	// facts is what this instance tells, last changed at toldAt. Only maintain uses them.
	facts  relayer.Facts
	toldAt time.Time
	// sizer holds the number of instances that share the fleet's budgets.
	sizer *sizer.Sizer
	// expiryChanged wakes maintain when a run may have to expire earlier than it knows.
	expiryChanged chan struct{}
	// loggedSharers is the number that logSharers has logged last; at first 1.
	loggedSharers int
}

// New returns an instance that Run starts.
func New(o Options) *Instance {
	i := &Instance{options: o, startTime: time.Now(), expiryChanged: make(chan struct{}, 1)}
	i.self = lister.Instance{Address: o.Front, Peer: o.Peer, Place: o.Zone, Zone: o.Zone, State: lister.Live}
	i.sizer = sizer.New(sizer.Options{
		Zone: o.Zone, Zones: o.Zones,
		Alone: !slices.ContainsFunc(o.Seeds, func(a netip.AddrPort) bool { return a != o.Peer }),
	})
	i.loggedSharers = 1
	i.weight.Store(math.Float64bits(1))
	i.incarnation = rand.Uint64() | 1
	i.assessor = &assessor.Assessor{Resources: o.Resources}
	i.facts = relayer.Facts{Cores: o.Resources.Cores, LinkRate: o.Resources.Link, Ease: 1}
	i.tables = &adopter.Adopter[router.Table]{Check: checkTable, OnChange: i.tableChanged, OnReject: i.documentRejected}
	i.lists = &adopter.Adopter[registrar.List]{Check: i.checkList, OnChange: i.listChanged, OnReject: i.documentRejected}
	i.registrar = registrar.New(i.runChanged)
	i.registrar.Drain, i.registrar.Warmup = o.Drain, i.warmup
	share := func(part float64) int64 { return int64(part * float64(o.MemoryBytes)) }
	i.memory = reserver.New(share(memoryShare), nil)
	i.seeker = &seeker.Seeker{Random: rand.IntN}
	responses := reserver.New(share(responseMemoryShare), i.memory)
	i.forwarder = forwarder.New(forwarder.Options{
		Dialect: o.Dialect, Zone: o.Zone, LocalAddress: o.TargetsFrom, Budget: o.Budget, FirstStart: o.FirstStart,
		Memory: reserver.New(share(aheadMemoryShare), responses), WholeMemory: responses,
		Table: i.tables.Current, FleetSize: i.fleetSize, Weight: func() float64 { return math.Float64frombits(i.weight.Load()) },
		SpreadRumor: i.spreadRumor, OnTargetReplaced: i.targetReplaced,
		OnTargetLeaving: i.targetLeaving, OnTargetWarmup: i.targetWarmup, CanSearch: i.canSearch, Search: i.search,
		LimitOwner: i.limitOwner, AskPermit: i.askPermit, SpreadLimit: i.spreadLimit,
		OnCutOff: i.cutOffChanged, CanRelay: i.canRelay, Relay: i.relay,
		Logger: o.Logger, Scope: o.Scope,
	})
	i.relayer = relayer.New(relayer.Options{
		Self: i.self, Listen: o.PeerListen, Incarnation: i.incarnation, Seeds: o.Seeds, Period: pingPeriod, RemotePingPeriods: remotePingPeriods,
		Keys:      func() framer.Keys { return o.Keys },
		Documents: i.document, OfferDocument: i.offerDocument, OnRumor: i.receiveRumor, OnConfirmation: i.recordConfirmation,
		DocumentsCurrent: i.documentsCurrent, OnMembersChange: i.membersChanged, OnFacts: i.receiveFacts,
		OfferTargets: i.offerTargets,
		Permit:       i.grantPermit,
		Execute:      i.serveRelayed,
		Logger:       o.Logger, Scope: o.Scope,
	})
	source := o.NewSource(Sink{OfferTable: i.offerTable, OfferList: i.offerList, CurrentAsOf: func() time.Time { return i.syncer.CurrentAsOf() }})
	i.syncer = &syncer.Syncer{
		Refresh: source.Refresh, List: source.List, Await: source.Await, FirstStart: o.FirstStart,
		Predecessors: i.predecessors, InstanceCount: i.zoneInstances, Confirm: func(time.Time) { i.relayer.ConfirmDocuments() }, Logger: o.Logger,
	}
	i.syncer.Prepare()
	i.acceptor = &acceptor.Acceptor{
		Handle: i.serve, Limits: i.limits,
		MaxBodyMemory: share(requestMemoryShare), Memory: i.memory,
		// If few file descriptors are allowed, clients still get half of them.
		MaxConnections: max(o.MaxFiles-reservedFiles, o.MaxFiles/2),
		OnError:        i.clientFailed,
	}
	i.acceptor.Prepare()
	return i
}

// Run runs the instance until the context ends and the instance has shut down, or
// until a part of it fails.
func (i *Instance) Run(ctx context.Context) error {
	_ = level.Info(i.options.Logger).Log("msg", "started", "build", relayer.BuildName(), "front", i.options.Front, "peer", i.options.Peer, "zone", i.options.Zone)
	l, err := net.Listen("tcp4", i.options.Front.String())
	if err != nil {
		return trace.Wrap(err, "listening for clients on %s", i.options.Front)
	}
	var g run.Group
	g.Add(i.relayer.Run, func(error) { i.relayer.Stop() })
	g.Add(i.syncer.Run, func(error) { i.syncer.Stop() })
	for address, handler := range i.options.Handlers(i) {
		if err := addHandler(&g, address, handler); err != nil {
			return err
		}
	}
	i.addLoop(&g, i.maintain)
	i.addLoop(&g, i.becomeReady)
	i.addAcceptor(ctx, &g, l)
	err = g.Run()
	_ = level.Info(i.options.Logger).Log("msg", "stopped", "err", err)
	return trace.Wrap(err)
}

// addLoop adds a function that runs until its context ends.
func (i *Instance) addLoop(g *run.Group, loop func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

func addHandler(g *run.Group, address netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return trace.Wrap(err, "listening on %s", address)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: handlerHeaderTimeout, IdleTimeout: handlerIdleTimeout}
	g.Add(func() error { return s.Serve(l) }, func(error) { s.Close() })
	return nil
}

// Ready reports whether the instance accepts clients.
func (i *Instance) Ready() bool { return i.ready.Load() && !i.leaving.Load() }

// Addresses returns the addresses of instances that the directory tells a client of
// a zone.
func (i *Instance) Addresses(zone string) []netip.AddrPort {
	return director.Choose(zone, i.relayer.Self(), i.Ready(), i.relayer.Members(), i.weigh, rand.IntN)
}

// maintain expires runs, closes idle connections and updates the gauges until the
// context ends.
func (i *Instance) maintain(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	expiry := time.NewTimer(maintenanceInterval)
	defer expiry.Stop()
	var lastGauges time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-i.expiryChanged:
			if next := i.registrar.NextExpiry(); !next.IsZero() {
				expiry.Reset(time.Until(next))
			}
		case now := <-expiry.C:
			i.expireRuns(now)
			i.wakeMaintain()
		case now := <-ticker.C:
			i.assessor.RecordLateness(time.Since(now))
			if now.Sub(lastGauges) >= gaugeInterval {
				lastGauges = now
				i.assess(now)
				i.updateGauges(now)
			}
			zones := i.registrar.ExpireZones(now)
			if len(zones) > 0 {
				i.updateTargets(now)
			}
			i.logZoneChanges(zones, i.lists.Stamp())
			i.expireRuns(now)
			i.forwarder.CloseIdleConnections(now)
			i.forwarder.CheckLinks(now)
		}
	}
}

// expireRuns removes the runs whose grace is over.
func (i *Instance) expireRuns(now time.Time) {
	if i.registrar.Expire(now) {
		i.updateTargets(now)
	}
}

// wakeMaintain lets maintain wait for the next expiry.
func (i *Instance) wakeMaintain() {
	select {
	case i.expiryChanged <- struct{}{}:
	default:
	}
}

// livePeers returns the peer addresses of the other live instances of the zone.
func (i *Instance) livePeers() []netip.AddrPort {
	var all []netip.AddrPort
	for _, m := range i.relayer.Members() {
		if m.State == detector.Alive && m.Instance.Zone == i.self.Zone {
			all = append(all, m.Instance.Peer)
		}
	}
	return all
}

// predecessors returns the live instances of the zone that are to read the platform's
// data before this one does. The order is that of the peer addresses. Instances of an
// earlier build don't count, since the lists that they read say less.
func (i *Instance) predecessors() []netip.AddrPort {
	return slices.DeleteFunc(i.livePeers(), func(a netip.AddrPort) bool { return a.Compare(i.self.Peer) >= 0 || i.readsLess(a) })
}

// zoneInstances returns the number of live instances of the zone, this one included.
func (i *Instance) zoneInstances() int { return 1 + len(i.livePeers()) }

func (i *Instance) limits() acceptor.Limits {
	t := i.tables.Current()
	if t == nil {
		return defaultLimits
	}
	return acceptor.Limits{
		MaxHeaderBytes: cmp.Or(t.Limits.MaxHeaderBytes, defaultLimits.MaxHeaderBytes), MaxBodyBytes: cmp.Or(t.Limits.MaxBodyBytes, defaultLimits.MaxBodyBytes),
		HeaderTimeout: cmp.Or(t.Limits.HeaderTimeout, defaultLimits.HeaderTimeout), IdleTimeout: cmp.Or(t.Limits.IdleTimeout, defaultLimits.IdleTimeout),
	}
}

// defaultLimits apply until the first settings are in force, and for each limit that
// the settings omit. The values are those of common servers.
var defaultLimits = acceptor.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

func (i *Instance) clientFailed(remote string, status int, cause error) {
	_ = level.Warn(i.options.Logger).Log("msg", "client failed", "client", remote, "status", status, "err", cause)
}

// Reload replaces the seeds and the budget, the only settings of the process that may
// change while it runs. The relayer gets the seeds as a list of instances, whose
// addresses it tries.
func (i *Instance) Reload(seeds []netip.AddrPort, b forwarder.Budget, now time.Time) {
	l := &lister.List{}
	for _, a := range seeds {
		l.Instances = append(l.Instances, lister.Instance{Peer: a})
	}
	i.relayer.SetListed(l, now)
	i.forwarder.SetBudget(b)
	// The bound on a cold target depends on the budget.
	i.updateTargets(now)
}
