package relayer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

const (
	// MaxFrameBytes bounds the payload of a frame. The bound also limits forwarded
	// operations and their outcomes.
	MaxFrameBytes = 16 << 20
	// peerTimeout bounds dialing a peer, the handshake and each write.
	peerTimeout = time.Second
	// fanout is the number of members of a place to which an announcement or rumor is
	// pushed.
	fanout = 4
	// remoteFanout is the number of members of each other place to which the instance
	// where a rumor originates pushes it. One of them may have failed undetected.
	remoteFanout = 2
)

// Options configures a relayer. Self, Incarnation and Keys are required. The other
// callbacks may be nil.
type Options struct {
	// Self is the instance's own entry as in the published list.
	Self lister.Instance
	// Incarnation identifies this lifetime of the instance's process. It is random.
	Incarnation uint64
	// Build is the name of the build of this program. The default is BuildName.
	Build string
	// Listen is the address on which peers are accepted. The default is Self.Peer.
	Listen netip.AddrPort
	// Seeds are addresses of peers to try in addition to the instances of the list.
	Seeds []netip.AddrPort
	// Keys returns the current key set.
	Keys func() framer.Keys
	// Period is the time between pings. The default is detector.DefaultPeriod. The
	// ping timeout and the suspicion timeout scale with it.
	Period time.Duration

	// RemotePingPeriods is the number of periods between pings to other places. The
	// default is that of the detector.
	RemotePingPeriods uint64
	// Documents returns the version, digest and text of the document in force.
	Documents func(kind DocumentKind) (version, digest uint64, text []byte)
	// OfferDocument is called with a document of a peer. It reports whether the
	// document is now in force. If it is nil, no documents are pulled.
	OfferDocument func(kind DocumentKind, text []byte, now time.Time) bool
	// OnRumor is called once for each rumor of other instances. It must not block.
	OnRumor func(r Rumor, now time.Time)
	// OnConfirmation is called when a peer of the same place confirms that its
	// documents are current.
	OnConfirmation func(peer netip.AddrPort, now time.Time)
	// DocumentsCurrent reports whether this instance or another one of its place knows
	// from the platform that the documents are current. Then no documents are
	// exchanged with other places, because traffic between places costs most. nil
	// means never.
	DocumentsCurrent func(now time.Time) bool
	// Execute executes an operation that was forwarded to this incarnation. The
	// context ends when the forwarding instance cancels the operation or its
	// connection ends. If Execute is nil, no operation is executed, and Forward of the
	// peer fails with Replaced.
	Execute func(ctx context.Context, o Operation) Outcome
	// OfferTargets returns targets of a service with free slots in this instance's
	// place. nil returns none.
	OfferTargets func(ctx context.Context, service string) []TargetOffer
	// Permit answers a peer that asks for a permit to send to a limited run of a target.
	// It must not block.
	Permit func(q PermitRequest, now time.Time) PermitResponse
	// OnFacts is called with the facts that a peer tells about itself. It must not block.
	OnFacts func(peer framer.Identity, f Facts, now time.Time)
	// OnMembersChange is called with all other members after each change. It must not
	// block or call the relayer.
	OnMembersChange func(members []detector.Member, changes []detector.Change)
	// Allow reports whether this instance may communicate with an address. Messages
	// to and from a denied address are dropped, as in a network partition. nil
	// allows all addresses.
	Allow func(address netip.AddrPort) bool

	Logger log.Logger
	Scope  tally.Scope
}

// Relayer exchanges messages with the other instances of the fleet.
type Relayer struct {
	options   Options
	endpoint  framer.Endpoint
	pool      *pool
	rumors    *rumors
	gathered  gatheredRumors
	transfers *transfers
	metrics   *metrics
	started   time.Time
	// lastConfirmed holds the stamps of the last confirmation. confirmDelay is
	// defaultConfirmDelay except in tests.
	lastConfirmed atomic.Pointer[announcement]
	confirmDelay  time.Duration
	// view is the latest membership. Each change replaces the slice.
	view atomic.Pointer[[]detector.Member]

	// facts holds this instance's facts, or nil. peers holds what peers have told in their
	// handshakes.
	facts atomic.Pointer[revisedFacts]
	peers peers

	// mutex guards the detector and orders the calls of Options.OnMembersChange.
	mutex    sync.Mutex
	detector *detector.Detector
	// detectorWakeup wakes runDetector when the time of the next tick may have changed.
	detectorWakeup chan struct{}

	// context ends when the relayer stops.
	context context.Context
	cancel  context.CancelFunc
	tasks   tasks
	done    chan struct{}
	// handlerTable holds the handler of each kind of message.
	handlerTable [messageKindEnd]handler
}

// New returns a relayer. Run starts it.
func New(o Options) *Relayer {
	if o.Period == 0 {
		o.Period = detector.DefaultPeriod
	}
	if !o.Listen.IsValid() {
		o.Listen = o.Self.Peer
	}
	if o.Allow == nil {
		o.Allow = func(netip.AddrPort) bool { return true }
	}
	if o.DocumentsCurrent == nil {
		o.DocumentsCurrent = func(time.Time) bool { return false }
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Build == "" {
		o.Build = BuildName()
	}
	r := &Relayer{
		options:        o,
		rumors:         newRumors(),
		metrics:        newMetrics(o.Scope),
		started:        time.Now(),
		confirmDelay:   defaultConfirmDelay,
		detectorWakeup: make(chan struct{}, 1),
		done:           make(chan struct{}),
	}
	r.context, r.cancel = context.WithCancel(context.Background())
	r.endpoint = framer.Endpoint{
		Identity:        framer.Identity{Peer: o.Self.Peer, Incarnation: o.Incarnation},
		Capabilities:    framer.Capabilities{Features: uint64(ownFeatures), Build: o.Build},
		Keys:            o.Keys,
		OnRefusal:       r.metrics.countRefusal,
		MaxPayloadBytes: MaxFrameBytes,
		Timeout:         peerTimeout,
	}
	r.handlerTable = r.handlers()
	r.transfers = newTransfers()
	r.pool = newPool(r)
	r.detector = detector.New(detectorOptions(o), r.started)
	r.view.Store(&[]detector.Member{})
	return r
}

func detectorOptions(o Options) detector.Options {
	scale := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * float64(o.Period) / float64(detector.DefaultPeriod))
	}
	return detector.Options{
		Self:              detector.Member{Instance: o.Self, Incarnation: o.Incarnation},
		Seeds:             o.Seeds,
		Period:            o.Period,
		PingTimeout:       scale(detector.DefaultPingTimeout),
		SuspicionTimeout:  scale(detector.DefaultSuspicionTimeout),
		RemotePingPeriods: o.RemotePingPeriods,
		ForgetAfter:       detector.DefaultForgetAfter,
		Random:            rand.Uint64,
	}
}

// Members returns the other members as last known. The slice is a snapshot that
// does not change.
func (r *Relayer) Members() []detector.Member { return *r.view.Load() }

// Self returns this instance as a member.
func (r *Relayer) Self() detector.Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.detector.Self()
}

// SetListed sets the addresses of peers to try from the published list.
func (r *Relayer) SetListed(l *lister.List, now time.Time) {
	var listed []netip.AddrPort
	for _, i := range l.Instances {
		listed = append(listed, i.Peer)
	}
	r.step(now, func(d *detector.Detector) []detector.Outgoing {
		d.SetListed(listed, now)
		return nil
	})
}

// StartLeaving announces that no more callers may be sent to this instance.
func (r *Relayer) StartLeaving(now time.Time) {
	r.step(now, func(d *detector.Detector) []detector.Outgoing { return d.StartLeaving(now) })
}

// SetCutOff announces whether this instance can reach no target.
func (r *Relayer) SetCutOff(cutOff bool, now time.Time) {
	r.step(now, func(d *detector.Detector) []detector.Outgoing { return d.SetCutOff(cutOff, now) })
}

// FinishLeaving ends this incarnation permanently. It sends the leave messages to a
// few members and waits until they are sent or have failed. The caller stops the
// relayer afterwards.
func (r *Relayer) FinishLeaving(now time.Time) {
	r.mutex.Lock()
	outgoing := r.detector.FinishLeaving(now)
	r.mutex.Unlock()
	sends := sync.WaitGroup{}
	for _, o := range outgoing {
		// Members that are not reached learn of the end from other members.
		sends.Go(func() { _ = r.sendPacket(nil, o, now) })
	}
	sends.Wait()
}

// HasEnded reports whether an incarnation is known to have ended permanently.
func (r *Relayer) HasEnded(peer netip.AddrPort, incarnation uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.detector.HasEnded(peer, incarnation)
}
