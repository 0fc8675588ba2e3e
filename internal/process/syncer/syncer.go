package syncer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// callTimeout bounds a call, or what remains of it after the wait.
	callTimeout = 800 * time.Millisecond
	// gatherLeast and gatherMost bound the growing time between two calls that bring
	// news, which come in series when targets start or are replaced. Both are short
	// beside the bounds on the effect of news, two seconds.
	gatherLeast = 100 * time.Millisecond
	gatherMost  = 400 * time.Millisecond
	// joining is the time after the first call in which a starting instance hears of
	// the others of its zone. A copy may be as old without any vouching.
	joining = patience - 100*time.Millisecond
	// oldest is the age up to which a copy is brought up to date by its changes
	// and not read anew; the platform keeps its history longer.
	oldest = 5 * time.Second
)

// Syncer reads from the platform when it is the instance's turn. Its fields are
// set before Run.
type Syncer struct {
	// Refresh reads everything anew.
	Refresh func(ctx context.Context) error
	// Await waits for changes since the last read and takes them in; without any it
	// returns after the wait.
	Await func(ctx context.Context, wait time.Duration) error
	// Predecessors returns the live instances of the zone that come before this one.
	Predecessors func() []netip.AddrPort
	// InstanceCount returns the number of live instances of the zone, this one included.
	InstanceCount func() int
	// Confirm tells the zone that this copy is current.
	Confirm func(now time.Time)
	Logger  log.Logger

	// read is when the last successful call ended, gather the least time between it
	// and the next one; only Run uses them.
	read   time.Time
	gather time.Duration

	mutex sync.Mutex
	turn  Turn
	// current is when the copy was last known to be current.
	current time.Time
	// lost means that the last call to the platform failed.
	lost    bool
	cancel  context.CancelFunc
	context context.Context
	done    chan struct{}
}

// Prepare readies the syncer for Run and Stop, which may then be called in any
// order.
func (s *Syncer) Prepare() {
	s.turn = Turn{Random: rand.Float64}
	s.done = make(chan struct{})
	s.context, s.cancel = context.WithCancel(context.Background())
}

// RecordConfirmation takes in that a peer's copy is current.
func (s *Syncer) RecordConfirmation(peer netip.AddrPort, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.turn.Vouched(peer, now)
	s.current = now
}

// CurrentAsOf returns when the copy was last known to be current; zero is never.
func (s *Syncer) CurrentAsOf() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current
}

// PlatformLost reports whether the last call to the platform failed.
func (s *Syncer) PlatformLost() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lost
}

// Stop ends Run. Done tells when it has ended.
func (s *Syncer) Stop() { s.cancel() }

// Done is closed when Run has returned.
func (s *Syncer) Done() <-chan struct{} { return s.done }

// Run reads until Stop.
func (s *Syncer) Run() error {
	defer close(s.done)
	reading := false
	for s.context.Err() == nil {
		now := time.Now()
		due, again := s.due(now)
		if due != reading {
			reading = due
			_ = level.Info(s.Logger).Log("msg", "reader changed", "reading", reading)
		}
		if !due {
			s.sleep(again.Sub(now))
			continue
		}
		s.sleep(s.round(now))
	}
	return nil
}

// round makes one call. What it brings counts at once; the time that is returned
// has to pass before the next call.
func (s *Syncer) round(began time.Time) time.Duration {
	err := s.call(began.Sub(s.read) > oldest)
	if s.context.Err() != nil {
		return 0
	}
	took := time.Since(began)
	now := began.Add(took)
	if s.finish(err != nil, now) {
		s.note(err)
	}
	if err != nil {
		return 0
	}
	first := s.read.IsZero()
	s.read = now
	s.Confirm(now)
	if first {
		return joining
	}
	s.gather = nextGather(s.gather, took)
	return s.gather - took
}

// nextGather returns the least time between a call that took some time and the
// next one. It grows while calls bring news at once, and starts anew after a pause.
func nextGather(before, took time.Duration) time.Duration {
	if took > gatherMost {
		return 0
	}
	return min(max(2*before, gatherLeast), gatherMost)
}

func (s *Syncer) due(now time.Time) (bool, time.Time) {
	before := s.Predecessors()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.turn.Due(now, before)
}

// finish takes in how a call ended and reports whether the platform was lost or
// is back with it.
func (s *Syncer) finish(failed bool, now time.Time) bool {
	count := s.InstanceCount()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.turn.Finish(failed, count, now)
	if !failed {
		s.current = now
	}
	changed := failed != s.lost
	s.lost = failed
	return changed
}

func (s *Syncer) call(anew bool) error {
	ctx, cancel := context.WithTimeout(s.context, Wait+callTimeout)
	defer cancel()
	if anew {
		return s.Refresh(ctx)
	}
	return s.Await(ctx, Wait)
}

func (s *Syncer) note(err error) {
	if err != nil {
		_ = level.Warn(s.Logger).Log("msg", "platform lost", "err", err)
		return
	}
	_ = level.Info(s.Logger).Log("msg", "platform back")
}

func (s *Syncer) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.context.Done():
	}
}
