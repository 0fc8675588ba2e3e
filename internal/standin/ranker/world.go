package ranker

import (
	"math/rand"
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/dispatcher"
	"oriolecourse.example/oriolecourse/internal/standin/scheduler"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Sizes of the ranked service.
const (
	worldTargets  = 12
	worldSlots    = 2
	worldZones    = 3
	meanWork      = 4 * time.Millisecond
	slowFactor    = 6
	slowEvery     = time.Second
	callerDelay   = time.Millisecond
	foreignDelay  = 500 * time.Microsecond
	localDelay    = 100 * time.Microsecond
	burstEvery    = 250 * time.Millisecond
	burstLength   = 25 * time.Millisecond
	burstFactor   = 2.0
	callerPatient = 250 * time.Millisecond
)

// world is one service's fake targets in virtual time.
type world struct {
	scheduler.Clock
	random  *rand.Rand
	servers []*server
	// mix holds the priorities of the arriving requests.
	mix []resolver.Priority

	// latencies of answered requests as their callers saw them, by priority.
	latencies                          [3][]time.Duration
	firsts, refused, retries, hedgings int
}

// server is a fake target that runs its queue in order of arrival.
type server struct {
	world   *world
	index   int
	running []*try
	queue   []*try
	// slow holds the starts and ends of its slow times, in order.
	slow []time.Duration
}

// try is one request at one server. Each try draws its own work, so that most
// of a long one is the server's doing and not the request's.
type try struct {
	work   time.Duration
	server *server
	gone   bool
	// ended is called when the answer is back at the instance.
	ended func(dispatcher.Report)
}

func newWorld(seed int64, mix []resolver.Priority, length time.Duration) *world {
	w := &world{mix: mix, random: rand.New(rand.NewSource(seed))}
	for i := range worldTargets {
		s := &server{world: w, index: i}
		for at := w.exponential(slowEvery); at < length; at += w.exponential(slowEvery) {
			end := at + 30*time.Millisecond + time.Duration(w.random.Int63n(int64(40*time.Millisecond)))
			s.slow = append(s.slow, at, end)
			at = end
		}
		w.servers = append(w.servers, s)
	}
	return w
}

func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

func (w *world) run(until time.Duration) {
	for w.Step(until) {
	}
}

// arrivals starts requests at the load until the length, with short bursts.
func (w *world) arrivals(load float64, length time.Duration, start func(resolver.Priority)) {
	mean := time.Duration(float64(meanWork) / (load * worldTargets * worldSlots))
	quiet := (1 - burstFactor*float64(burstLength)/float64(burstEvery)) / (1 - float64(burstLength)/float64(burstEvery))
	var next func()
	next = func() {
		if w.Now > length {
			return
		}
		rate := quiet
		if w.Now%burstEvery < burstLength {
			rate = burstFactor
		}
		w.After(w.exponential(time.Duration(float64(mean)/rate)), next)
		w.firsts++
		start(w.mix[w.random.Intn(len(w.mix))])
	}
	w.After(0, next)
}

// The mixes of priorities that are ranked.
var (
	urgentOnly = []resolver.Priority{resolver.Urgent}
	mixed      = []resolver.Priority{
		resolver.Urgent, resolver.Urgent, resolver.Urgent, resolver.Urgent, resolver.Urgent,
		resolver.Urgent, resolver.Urgent, resolver.Normal, resolver.Normal, resolver.Queued,
	}
)

// slowNow tells whether the server is slow at the moment.
func (s *server) slowNow() bool { return s.phase(s.world.Now)%2 == 1 }

func (s *server) phase(at time.Duration) int {
	i, found := slices.BinarySearch(s.slow, at)
	if found {
		i++
	}
	return i
}

// elapsed returns how long work takes that starts now.
func (s *server) elapsed(work time.Duration) time.Duration {
	at, left := s.world.Now, work
	for i := s.phase(at); ; i++ {
		pace := time.Duration(1 + i%2*(slowFactor-1))
		if i >= len(s.slow) || at+left*pace <= s.slow[i] {
			return at + left*pace - s.world.Now
		}
		left -= (s.slow[i] - at) / pace
		at = s.slow[i]
	}
}

func (s *server) load() int { return len(s.running) + len(s.queue) }

// delay is the one-way time between an instance and the server.
func (s *server) delay(instance int) time.Duration {
	if s.index%worldZones == instance%worldZones {
		return localDelay
	}
	return foreignDelay
}

// send lets a try arrive at the server.
func (s *server) send(t *try, instance int) {
	t.server, t.work = s, s.world.exponential(meanWork)
	answered := t.ended
	t.ended = func(r dispatcher.Report) { s.world.After(s.delay(instance), func() { answered(r) }) }
	s.world.After(s.delay(instance), func() {
		s.queue = append(s.queue, t)
		s.next()
	})
}

func (s *server) next() {
	for len(s.queue) > 0 && len(s.running) < worldSlots {
		t := s.queue[0]
		s.queue = s.queue[1:]
		s.running = append(s.running, t)
		s.world.After(s.elapsed(t.work), func() { s.finish(t) })
	}
}

func (s *server) finish(t *try) {
	if t.gone {
		return
	}
	s.drop(t)
	t.ended(dispatcher.Report{Running: len(s.running), Queued: len(s.queue), Slots: worldSlots})
}

// drop frees what a try holds at its server.
func (s *server) drop(t *try) {
	t.gone = true
	same := func(other *try) bool { return other == t }
	s.running = slices.DeleteFunc(s.running, same)
	s.queue = slices.DeleteFunc(s.queue, same)
	s.next()
}

// cancel lets a cancellation arrive at the try's server.
func (t *try) cancel(instance int) {
	t.server.world.After(t.server.delay(instance), func() {
		if !t.gone {
			t.server.drop(t)
		}
	})
}
