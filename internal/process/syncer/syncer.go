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
	// callTimeout is the time that a call may take in addition to LongPollWait.
	callTimeout = 800 * time.Millisecond
	// refreshTimeout is the time that reading all data may take. After a power failure all
	// instances read at once and share the platform's link.
	refreshTimeout = 5 * time.Second
	// minCallInterval and maxCallInterval bound the time from the start of a call that
	// returned changes at once to the next call. Changes come in series when targets
	// start or are replaced, so the interval doubles while they do. Both bounds are
	// short compared with the two seconds within which a change must take effect.
	minCallInterval = 100 * time.Millisecond
	maxCallInterval = 400 * time.Millisecond
	// joinDelay is the pause after the first successful read, in which a starting
	// instance learns of the other instances of its zone. It is shorter than
	// confirmationTimeout, since a copy may reach that age anyway while confirmations
	// are missing.
	joinDelay = confirmationTimeout - 100*time.Millisecond
	// maxIncrementalAge is the age up to which a copy is updated by its changes instead
	// of being read completely. The platform keeps its history longer than this.
	maxIncrementalAge = 5 * time.Second
)

// Syncer reads from the platform while this instance is the reader of its zone. Its
// exported fields are set before Run.
type Syncer struct {
	// Refresh reads all data.
	Refresh func(ctx context.Context) error
	// List reads all data as it was some seconds ago at most, for a fraction of the cost
	// of Refresh.
	List func(ctx context.Context) error
	// FirstStart means that the whole installation starts for the first time. Its
	// instances all read at once, before there are clients. A listing is enough for them:
	// within two seconds the reader of the zone confirms it or replaces it.
	FirstStart bool
	// Await waits for changes since the last read and applies them. Without changes it
	// returns after the wait.
	Await func(ctx context.Context, wait time.Duration) error
	// Predecessors returns the live instances of the zone that precede this one in the
	// order.
	Predecessors func() []netip.AddrPort
	// InstanceCount returns the number of live instances of the zone, this one included.
	InstanceCount func() int
	// Confirm announces to the instances of the zone that this copy is current.
	Confirm func(now time.Time)
	Logger  log.Logger

	// lastRead is when the last successful call ended. callInterval is the minimum time
	// between the starts of two calls, or 0. Only Run uses them.
	lastRead     time.Time
	callInterval time.Duration

	// mutex guards schedule, currentAsOf and platformUnreachable.
	mutex    sync.Mutex
	schedule Schedule
	// currentAsOf is the latest time at which the copy was known to be current.
	currentAsOf time.Time
	// platformUnreachable means that the last call to the platform failed.
	platformUnreachable bool
	cancel              context.CancelFunc
	ctx                 context.Context
	done                chan struct{}
}

// Prepare initializes the syncer. Run and Stop may then be called in any order.
func (s *Syncer) Prepare() {
	s.schedule = Schedule{Random: rand.Float64}
	s.done = make(chan struct{})
	s.ctx, s.cancel = context.WithCancel(context.Background())
}

// RecordConfirmation records that the copy of a peer is current as of now. This
// instance's copy counts as current too, since it fetches the documents that it lacks
// from the peer.
func (s *Syncer) RecordConfirmation(peer netip.AddrPort, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.schedule.RecordConfirmation(peer, now)
	s.currentAsOf = now
}

// CurrentAsOf returns the latest time at which the copy was known to be current, or
// zero if it never was.
func (s *Syncer) CurrentAsOf() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.currentAsOf
}

// PlatformUnreachable reports whether the last call to the platform failed.
func (s *Syncer) PlatformUnreachable() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.platformUnreachable
}

// Stop ends Run without waiting for it to return; see Done.
func (s *Syncer) Stop() { s.cancel() }

// Done is closed when Run has returned.
func (s *Syncer) Done() <-chan struct{} { return s.done }

// Run calls the platform whenever this instance is the reader, until Stop.
func (s *Syncer) Run() error {
	defer close(s.done)
	reading := false
	for s.ctx.Err() == nil {
		now := time.Now()
		due, next := s.due(now)
		if due != reading {
			reading = due
			_ = level.Info(s.Logger).Log("msg", "reader changed", "reading", reading)
		}
		if !due {
			s.sleep(next.Sub(now))
			continue
		}
		s.sleep(s.readOnce(now))
	}
	return nil
}

// readOnce makes one call, whose result takes effect at once. It returns the time to
// wait before the next call.
func (s *Syncer) readOnce(began time.Time) time.Duration {
	err := s.call(began.Sub(s.lastRead) > maxIncrementalAge)
	if s.ctx.Err() != nil {
		return 0
	}
	took := time.Since(began)
	now := began.Add(took)
	if s.recordResult(err != nil, now) {
		s.logPlatform(err)
	}
	if err != nil {
		return 0
	}
	first := s.lastRead.IsZero()
	s.lastRead = now
	s.Confirm(now)
	if first {
		return joinDelay
	}
	s.callInterval = nextCallInterval(s.callInterval, took)
	return s.callInterval - took
}

// nextCallInterval returns the minimum time from the start of a call that lasted took
// to the next call, given the previous interval. The interval doubles while calls
// return changes at once. A call that had to wait for changes resets it.
func nextCallInterval(previous, took time.Duration) time.Duration {
	if took > maxCallInterval {
		return 0
	}
	return min(max(2*previous, minCallInterval), maxCallInterval)
}

func (s *Syncer) due(now time.Time) (bool, time.Time) {
	predecessors := s.Predecessors()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.schedule.Due(now, predecessors)
}

// recordResult records how a call ended. It reports whether the platform has become
// unreachable, or reachable again, with this call.
func (s *Syncer) recordResult(failed bool, now time.Time) bool {
	count := s.InstanceCount()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.schedule.RecordResult(failed, count, now)
	if !failed {
		s.currentAsOf = now
	}
	changed := failed != s.platformUnreachable
	s.platformUnreachable = failed
	return changed
}

// call reads everything if complete is set, and waits for changes otherwise. The first
// call of an installation only lists.
func (s *Syncer) call(complete bool) error {
	timeout := LongPollWait + callTimeout
	if complete {
		timeout = refreshTimeout
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	switch {
	case complete && s.FirstStart && s.lastRead.IsZero():
		return s.List(ctx)
	case complete:
		return s.Refresh(ctx)
	}
	return s.Await(ctx, LongPollWait)
}

func (s *Syncer) logPlatform(err error) {
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
	case <-s.ctx.Done():
	}
}
