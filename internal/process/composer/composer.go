package composer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/connection/acceptor"
	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/adopter"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/director"
	"oriolecourse.example/oriolecourse/internal/process/forwarder"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/process/seeker"
	"oriolecourse.example/oriolecourse/internal/process/syncer"
	"oriolecourse.example/oriolecourse/internal/version/lister"
	"oriolecourse.example/oriolecourse/internal/version/router"
)

const (
	// refreshEvery is the time between looks for runs whose time is over and for
	// idle connections.
	refreshEvery = 250 * time.Millisecond
	// pingPeriod is the time between two pings of an instance. Its zone is a handful of
	// instances, and clients are told of one that is silent within a round.
	pingPeriod = 200 * time.Millisecond
	// remotePings is the number of ping periods between pings to other zones. What
	// is known of these matters only when few instances of the own zone are left.
	remotePings = 60
	// pageTimeout bounds the header of a question to the directory or to the
	// platform's pages, pageIdle the time between two of them; clients ask each second
	// or so.
	pageTimeout = time.Second
	pageIdle    = 10 * time.Second
	// memoryShare is the part of the memory that request bodies may use.
	memoryShare = 0.25
	// reservedFiles are descriptors that are not used for clients.
	reservedFiles = 1000
)

// Source reads the platform's data and hands it over.
type Source struct {
	// Refresh reads everything anew.
	Refresh func(ctx context.Context) error
	// Await waits for changes; without any it returns after the wait.
	Await func(ctx context.Context, wait time.Duration) error
}

// Options holds what an instance is built from.
type Options struct {
	// Front serves clients; Peer is where the other instances find this one.
	Front, Peer netip.AddrPort
	// PeerListen is the address to accept other instances on, behind a forwarder of
	// connections; Peer when not valid.
	PeerListen netip.AddrPort
	Zone       string
	// Seeds are peer addresses to try first; they may be stale.
	Seeds   []netip.AddrPort
	Keys    framer.Keys
	Dialect forwarder.Dialect
	Budget  forwarder.Budget
	// Grace is the time between the order to stop and the kill.
	Grace time.Duration
	// MemoryBytes is in bytes, Files in descriptors.
	MemoryBytes int64
	MaxFiles    int
	// NewSource makes the reader of the platform; it offers what it reads.
	NewSource func(offer Sink) Source
	// Handlers are further HTTP handlers by address, such as those for the platform's
	// own checks.
	Handlers func(i *Instance) map[netip.AddrPort]http.Handler
	Logger   log.Logger
	Scope    tally.Scope
}

// Sink takes in what was read from the platform.
type Sink struct {
	OfferTable func(t *router.Table, now time.Time) error
	OfferList  func(l *registrar.List, now time.Time) error
}

// Instance is one running instance.
type Instance struct {
	options   Options
	self      lister.Instance
	tables    *adopter.Adopter[router.Table]
	lists     *adopter.Adopter[registrar.List]
	registrar *registrar.Registrar
	forwarder *forwarder.Forwarder
	relayer   *relayer.Relayer
	syncer    *syncer.Syncer
	seeker    *seeker.Seeker
	acceptor  *acceptor.Acceptor
	began     time.Time
	leaving   atomic.Bool
	// ready is set once and never taken back.
	ready atomic.Bool
	// caughtUp is set once a peer has handed over what it knows.
	caughtUp atomic.Bool
	// fleet is the number of instances seen alive, this one included.
	fleet atomic.Int64
}

// New returns an instance that has not started.
func New(o Options) *Instance {
	i := &Instance{options: o, began: time.Now()}
	i.self = lister.Instance{Address: o.Front, Peer: o.Peer, Place: o.Zone, Zone: o.Zone, State: lister.Live}
	i.fleet.Store(1)
	i.tables = &adopter.Adopter[router.Table]{Check: checkTable, OnChange: i.tableChanged, OnReject: i.rejected}
	i.lists = &adopter.Adopter[registrar.List]{Check: checkList, OnChange: i.listChanged, OnReject: i.rejected}
	i.registrar = registrar.New(i.runChanged)
	i.seeker = &seeker.Seeker{Random: rand.IntN}
	i.forwarder = forwarder.New(forwarder.Options{
		Dialect: o.Dialect, Zone: o.Zone, Budget: o.Budget,
		Table: i.tables.Current, Fleet: func() int { return int(i.fleet.Load()) },
		Lost: i.spreadLoss, Left: i.targetLeft, Scouted: i.scouted, Seek: i.seek, Logger: o.Logger, Scope: o.Scope,
	})
	i.relayer = relayer.New(relayer.Options{
		Self: i.self, Listen: o.PeerListen, Incarnation: rand.Uint64() | 1, Seeds: o.Seeds, Period: pingPeriod, RemotePingPeriods: remotePings,
		Keys:      func() framer.Keys { return o.Keys },
		Documents: i.document, OfferDocument: i.offered, OnRumor: i.hear, OnConfirmation: i.vouched,
		DocumentsCurrent: i.current, OnMembersChange: i.membersChanged,
		OfferTargets: i.find,
		Logger:       o.Logger, Scope: o.Scope,
	})
	source := o.NewSource(Sink{OfferTable: i.offerTable, OfferList: i.offerList})
	i.syncer = &syncer.Syncer{
		Refresh: source.Refresh, Await: source.Await,
		Predecessors: i.before, InstanceCount: i.count, Confirm: func(time.Time) { i.relayer.ConfirmDocuments() }, Logger: o.Logger,
	}
	i.syncer.Prepare()
	i.acceptor = &acceptor.Acceptor{
		Handle: i.forwarder.Serve, Limits: i.limits,
		MaxBodyMemory:  int64(memoryShare * float64(o.MemoryBytes)),
		MaxConnections: max(o.MaxFiles-reservedFiles, o.MaxFiles/2),
		OnError:        i.clientFailed,
	}
	i.acceptor.Prepare()
	return i
}

// Run runs the instance until it has been told to stop and has left.
func (i *Instance) Run(ctx context.Context) error {
	_ = level.Info(i.options.Logger).Log("msg", "started", "front", i.options.Front, "peer", i.options.Peer, "zone", i.options.Zone)
	l, err := net.Listen("tcp4", i.options.Front.String())
	if err != nil {
		return trace.Wrap(err, "listening for clients on %s", i.options.Front)
	}
	var g run.Group
	g.Add(i.relayer.Run, func(error) { i.relayer.Stop() })
	g.Add(i.syncer.Run, func(error) { i.syncer.Stop() })
	for address, handler := range i.options.Handlers(i) {
		if err := addPage(&g, address, handler); err != nil {
			return err
		}
	}
	i.addLoop(&g, i.refresh)
	i.addLoop(&g, i.enter)
	i.addLife(ctx, &g, l)
	err = g.Run()
	_ = level.Info(i.options.Logger).Log("msg", "stopped", "err", err)
	return trace.Wrap(err)
}

// addLoop adds a part that runs until its context ends.
func (i *Instance) addLoop(g *run.Group, loop func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

func addPage(g *run.Group, address netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return trace.Wrap(err, "listening on %s", address)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: pageTimeout, IdleTimeout: pageIdle}
	g.Add(func() error { return s.Serve(l) }, func(error) { s.Close() })
	return nil
}

// Ready reports whether the instance takes clients.
func (i *Instance) Ready() bool { return i.ready.Load() && !i.leaving.Load() }

// Addresses returns the addresses that a client of a zone is told.
func (i *Instance) Addresses(zone string) []netip.AddrPort {
	return director.Choose(zone, i.self, i.Ready(), i.relayer.Members(), rand.IntN)
}

// refresh ends what has lasted long enough.
func (i *Instance) refresh(ctx context.Context) error {
	ticker := time.NewTicker(refreshEvery)
	defer ticker.Stop()
	var gauged time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if now.Sub(gauged) >= gaugeEvery {
				gauged = now
				i.gauge(now)
			}
			if i.registrar.Expire(now) {
				i.useTargets(now)
			}
			i.forwarder.Sweep(now)
		}
	}
}

// mates returns the other live instances of the zone.
func (i *Instance) mates() []netip.AddrPort {
	var all []netip.AddrPort
	for _, m := range i.relayer.Members() {
		if m.State == detector.Alive && m.Instance.Zone == i.self.Zone {
			all = append(all, m.Instance.Peer)
		}
	}
	return all
}

// before returns the live instances of the zone that read before this one.
func (i *Instance) before() []netip.AddrPort {
	return slices.DeleteFunc(i.mates(), func(a netip.AddrPort) bool { return a.Compare(i.self.Peer) >= 0 })
}

// count returns the number of live instances of the zone, this one included.
func (i *Instance) count() int { return 1 + len(i.mates()) }

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

// defaultLimits hold until the first settings are known, and for what these leave
// out. They are those of common servers.
var defaultLimits = acceptor.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

func (i *Instance) clientFailed(remote string, status int, cause error) {
	_ = level.Warn(i.options.Logger).Log("msg", "client failed", "client", remote, "status", status, "err", cause)
}

// Reload puts settings of the process in force that may change while it runs.
func (i *Instance) Reload(seeds []netip.AddrPort, b forwarder.Budget, now time.Time) {
	l := &lister.List{}
	for _, a := range seeds {
		l.Instances = append(l.Instances, lister.Instance{Peer: a})
	}
	i.relayer.SetListed(l, now)
	i.forwarder.SetBudget(b)
}
