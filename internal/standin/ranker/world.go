package ranker

import (
	"math/rand"
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/dispatcher"
	"oriolecourse.example/oriolecourse/internal/standin/scheduler"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Sizes and times of the simulated service.
const (
	targetCount       = 12
	slotsPerTarget    = 2
	zoneCount         = 3
	meanWorkTime      = 4 * time.Millisecond
	slowPhaseSlowdown = 6                      // in a slow phase work takes this many times as long
	meanSlowInterval  = time.Second            // mean time from the end of a slow phase to the start of the next one of the same server
	callerDelay       = time.Millisecond       // one way, between a caller and an instance
	remoteDelay       = 500 * time.Microsecond // one way, to another zone
	localDelay        = 100 * time.Microsecond // one way, within a zone
	burstInterval     = 250 * time.Millisecond
	burstLength       = 25 * time.Millisecond
	burstFactor       = 2.0 // rate of arrivals in a burst, relative to the mean rate
	callerTimeout     = 250 * time.Millisecond
)

// world is a simulated service with its targets, in virtual time.
type world struct {
	scheduler.Clock
	random  *rand.Rand
	servers []*server
	// mix holds the priorities of the arriving requests.
	mix []resolver.Priority

	// latencies holds the latencies of answered requests by priority, measured at the
	// caller.
	latencies [3][]time.Duration
	// The counters cover all priorities.
	requests, rejected, retries, hedges int
}

// server is a simulated target. It runs requests in order of arrival.
type server struct {
	world   *world
	index   int
	running []*attempt
	queue   []*attempt
	// slow holds the starts and ends of the slow phases, alternating and in order.
	slow []time.Duration
}

// attempt is one request at one server. Each attempt draws its own work, so a long
// attempt is mostly caused by the server and not by the request.
type attempt struct {
	work   time.Duration
	server *server
	// removed is set when the attempt has ended or was canceled.
	removed bool
	// onEnd is called when the response has reached the instance.
	onEnd func(dispatcher.Report)
}

// newWorld returns a world whose servers have slow phases of 30 to 70 ms until length.
func newWorld(seed int64, mix []resolver.Priority, length time.Duration) *world {
	w := &world{mix: mix, random: rand.New(rand.NewSource(seed))}
	for i := range targetCount {
		s := &server{world: w, index: i}
		for at := w.exponential(meanSlowInterval); at < length; at += w.exponential(meanSlowInterval) {
			end := at + 30*time.Millisecond + time.Duration(w.random.Int63n(int64(40*time.Millisecond)))
			s.slow = append(s.slow, at, end)
			at = end
		}
		w.servers = append(w.servers, s)
	}
	return w
}

// exponential draws an exponentially distributed duration.
func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

func (w *world) run(until time.Duration) {
	for w.Step(until) {
	}
}

// scheduleArrivals calls start for each arriving request until length. The load is a
// share of the capacity; the rate is higher in bursts and lower between them, so that
// its mean equals the load.
func (w *world) scheduleArrivals(load float64, length time.Duration, start func(resolver.Priority)) {
	mean := time.Duration(float64(meanWorkTime) / (load * targetCount * slotsPerTarget))
	quiet := (1 - burstFactor*float64(burstLength)/float64(burstInterval)) / (1 - float64(burstLength)/float64(burstInterval))
	var next func()
	next = func() {
		if w.Now > length {
			return
		}
		rate := quiet
		if w.Now%burstInterval < burstLength {
			rate = burstFactor
		}
		w.After(w.exponential(time.Duration(float64(mean)/rate)), next)
		w.requests++
		start(w.mix[w.random.Intn(len(w.mix))])
	}
	w.After(0, next)
}

// The mixes of priorities that are ranked.
var (
	urgentOnly      = []resolver.Priority{resolver.Urgent}
	mixedPriorities = []resolver.Priority{
		resolver.Urgent, resolver.Urgent, resolver.Urgent, resolver.Urgent, resolver.Urgent,
		resolver.Urgent, resolver.Urgent, resolver.Normal, resolver.Normal, resolver.Queued,
	}
)

// slowNow reports whether the server is in a slow phase.
func (s *server) slowNow() bool { return s.phase(s.world.Now)%2 == 1 }

// phase returns the number of starts and ends of slow phases up to a time. It is odd
// during a slow phase.
func (s *server) phase(at time.Duration) int {
	i, found := slices.BinarySearch(s.slow, at)
	if found {
		i++
	}
	return i
}

// processingTime returns how long work takes if it starts now, with the slow phases that
// it overlaps.
func (s *server) processingTime(work time.Duration) time.Duration {
	at, left := s.world.Now, work
	for i := s.phase(at); ; i++ {
		slowdown := time.Duration(1 + i%2*(slowPhaseSlowdown-1))
		if i >= len(s.slow) || at+left*slowdown <= s.slow[i] {
			return at + left*slowdown - s.world.Now
		}
		left -= (s.slow[i] - at) / slowdown
		at = s.slow[i]
	}
}

func (s *server) load() int { return len(s.running) + len(s.queue) }

// delay returns the one-way delay between an instance and the server.
func (s *server) delay(instance int) time.Duration {
	if s.index%zoneCount == instance%zoneCount {
		return localDelay
	}
	return remoteDelay
}

// send draws the work of an attempt and sends it to the server.
func (s *server) send(a *attempt, instance int) {
	a.server, a.work = s, s.world.exponential(meanWorkTime)
	respond := a.onEnd
	a.onEnd = func(r dispatcher.Report) { s.world.After(s.delay(instance), func() { respond(r) }) }
	s.world.After(s.delay(instance), func() {
		s.queue = append(s.queue, a)
		s.next()
	})
}

// next starts queued attempts while slots are free.
func (s *server) next() {
	for len(s.queue) > 0 && len(s.running) < slotsPerTarget {
		a := s.queue[0]
		s.queue = s.queue[1:]
		s.running = append(s.running, a)
		s.world.After(s.processingTime(a.work), func() { s.finish(a) })
	}
}

// finish ends an attempt and sends the response with the load of the server.
func (s *server) finish(a *attempt) {
	if a.removed {
		return
	}
	s.remove(a)
	a.onEnd(dispatcher.Report{Running: len(s.running), Queued: len(s.queue), Slots: slotsPerTarget})
}

// remove takes an attempt from the server and frees its slot.
func (s *server) remove(a *attempt) {
	a.removed = true
	isSame := func(other *attempt) bool { return other == a }
	s.running = slices.DeleteFunc(s.running, isSame)
	s.queue = slices.DeleteFunc(s.queue, isSame)
	s.next()
}

// cancel sends a cancellation to the server of the attempt.
func (a *attempt) cancel(instance int) {
	a.server.world.After(a.server.delay(instance), func() {
		if !a.removed {
			a.server.remove(a)
		}
	})
}
