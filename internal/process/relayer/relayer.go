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
	// MaxFrame bounds a message in bytes, forwarded operations included.
	MaxFrame = 16 << 20
	// peerTimeout bounds dialing a peer, its handshake and one write.
	peerTimeout = time.Second
	// fanout is the number of members that news is pushed to at once.
	fanout = 4
	// farFanout is the number of members of each other place that are told a rumor
	// at its start: one may be gone without being known to be.
	farFanout = 2
)

// Options holds what a relayer is built from.
type Options struct {
	// Self is the instance as the list would publish it.
	Self lister.Instance
	// Incarnation is drawn at random at each start.
	Incarnation uint64
	// Listen is the address to accept peers on; Self.Peer when not valid.
	Listen netip.AddrPort
	// Seeds are addresses of peers to try, besides those of the list.
	Seeds []netip.AddrPort
	// Keys returns the present key set.
	Keys func() framer.Keys
	// Period is the time between pings; 0 is detector.DefaultPeriod. The timeout
	// of a ping and the suspicion scale with it.
	Period time.Duration

	// RemotePingPeriods is the number of periods between pings to other places; 0 is the
	// detector's default.
	RemotePingPeriods uint64
	// Documents returns the version, digest and text of the document in force.
	Documents func(kind DocumentKind) (version, digest uint64, text []byte)
	// OfferDocument hands over a document that a peer holds; it reports whether it is
	// now in force.
	OfferDocument func(kind DocumentKind, text []byte, now time.Time) bool
	// OnRumor is called once for each rumor that other instances spread; it must
	// not block.
	OnRumor func(r Rumor, now time.Time)
	// OnConfirmation is called when a peer of the same place tells that its documents are
	// current; nil ignores it.
	OnConfirmation func(peer netip.AddrPort, now time.Time)
	// DocumentsCurrent reports whether the documents are known to be current from within
	// the place. Then none are exchanged with other places, where traffic costs
	// most. Nil is never.
	DocumentsCurrent func(now time.Time) bool
	// Execute runs an operation that was forwarded to this incarnation. The
	// context ends when the asking instance gives up or goes away.
	Execute func(ctx context.Context, o Operation) Outcome
	// Find returns targets of this instance's place that have room for a request of
	// a service; nil finds none.
	Find func(ctx context.Context, service string) []TargetOffer
	// OnMembersChange is called with the whole membership after each change; it must not
	// block nor call the relayer.
	OnMembersChange func(members []detector.Member, changes []detector.Change)
	// Allow reports whether this instance may talk with an address; nil allows
	// all. What is not allowed is lost in silence, as in a network partition.
	Allow func(address netip.AddrPort) bool

	Logger log.Logger
	Scope  tally.Scope
}

// Relayer is one instance's connection with the others.
type Relayer struct {
	options  Options
	endpoint framer.Endpoint
	pool     *pool
	rumors   *rumors
	papers   *documents
	traffic  *traffic
	started  time.Time
	// vouched is what was vouched for last; delay is vouchDelay but in tests.
	vouched atomic.Pointer[announcement]
	delay   time.Duration
	// view is the latest membership; it is replaced, never modified.
	view atomic.Pointer[[]detector.Member]

	// mutex guards the detector and orders calls of Options.Members.
	mutex    sync.Mutex
	detector *detector.Detector
	// kick wakes the driving goroutine when its next deadline may have changed.
	kick chan struct{}

	// context ends when the relayer stops.
	context context.Context
	cancel  context.CancelFunc
	tasks   tasks
	done    chan struct{}
	// handle holds what each kind of message leads to.
	handle [messageKinds]handler
}

// New returns a relayer that has not started.
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
	r := &Relayer{
		options: o,
		rumors:  newRumors(),
		traffic: newTraffic(o.Scope),
		started: time.Now(),
		delay:   vouchDelay,
		kick:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	r.context, r.cancel = context.WithCancel(context.Background())
	r.endpoint = framer.Endpoint{
		Identity: framer.Identity{Peer: o.Self.Peer, Incarnation: o.Incarnation},
		Keys:     o.Keys,
		Refused:  r.traffic.refuse,
		MaxFrame: MaxFrame,
		Timeout:  peerTimeout,
	}
	r.handle = r.handlers()
	r.papers = newDocuments()
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

// Members returns the other members as last known. The slice is not modified later.
func (r *Relayer) Members() []detector.Member { return *r.view.Load() }

// Self returns the instance's own member.
func (r *Relayer) Self() detector.Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.detector.Self()
}

// SetListed sets the peers that the published list names.
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

// StartLeaving tells the others that callers must no longer be sent here.
func (r *Relayer) StartLeaving(now time.Time) {
	r.step(now, func(d *detector.Detector) []detector.Outgoing { return d.StartLeaving(now) })
}

// FinishLeaving tells the others that this incarnation ends for good and waits until
// a few have been told. The relayer is stopped after it.
func (r *Relayer) FinishLeaving(now time.Time) {
	r.mutex.Lock()
	actions := r.detector.FinishLeaving(now)
	r.mutex.Unlock()
	told := sync.WaitGroup{}
	for _, a := range actions {
		// Those who are not reached hear of it from the others.
		told.Go(func() { _ = r.sendPacket(nil, a, now) })
	}
	told.Wait()
}

// Ended reports whether an incarnation is known to have ended for good.
func (r *Relayer) Ended(peer netip.AddrPort, incarnation uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.detector.HasEnded(peer, incarnation)
}
