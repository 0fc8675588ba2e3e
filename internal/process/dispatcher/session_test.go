package dispatcher

import (
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"oriolecourse.example/oriolecourse/internal/request/retrier"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// session drives a Dispatcher through a scripted sequence of requests at simulated
// times. It writes the decisions to output, one a line, and prints the targets as
// the letters a, b and c.
type session struct {
	d        *Dispatcher
	start    time.Time
	now      time.Time
	output   strings.Builder
	policy   resolver.Policy
	targets  []Target
	leases   map[string]*Lease
	requests map[string]Request
	tickets  map[string]*Ticket
}

func newSession(targets int) *session {
	start := time.Unix(1000, 0)
	s := &session{
		d: New("himal", "lookup"), start: start, now: start,
		policy: resolver.Policy{
			Kind: "find", Deadline: 250 * time.Millisecond, MaxWait: 100 * time.Millisecond, Queue: 4, RetryRatio: 0.1,
			HedgeDelay: 15 * time.Millisecond, HedgeRatio: 0.03, Slots: 2, Spare: 1, Failures: 3, EjectionTime: time.Second,
			Connections: 250, Fleet: 32, Ramp: 10 * time.Second,
		},
		leases: map[string]*Lease{}, requests: map[string]Request{}, tickets: map[string]*Ticket{},
	}
	s.d.recorder.interval = 0
	s.d.Random = rand.New(rand.NewSource(1)).Uint64
	for i := range targets {
		s.targets = append(s.targets, Target{Address: address(i), Start: "1", Owned: true, Since: start.Add(-time.Hour)})
	}
	s.configure()
	for range 40 {
		s.d.latencyEstimate("find").Observe(4 * time.Millisecond)
	}
	return s
}

func (s *session) configure() { s.d.Configure(&s.policy, s.targets, s.now) }

// printf writes one line with the time since the start.
func (s *session) printf(format string, arguments ...any) {
	line := strings.TrimSpace(fmt.Sprintf(format, arguments...))
	for i := range s.targets {
		line = strings.ReplaceAll(line, address(i).String(), string(rune('a'+i)))
	}
	fmt.Fprintf(&s.output, "%9.3f ms  %s\n", float64(s.now.Sub(s.start))/float64(time.Millisecond), line)
}

// wait advances the time and serves the queue.
func (s *session) wait(d time.Duration) {
	s.now = s.now.Add(d)
	s.d.ServeQueue(s.now)
	s.collect()
}

// request returns a request of the priority.
func (s *session) request(p resolver.Priority) Request {
	policy := s.policy
	policy.Priority = p
	return Request{Policy: &policy, Deadline: s.now.Add(policy.Deadline)}
}

// arrive submits a request under a name.
func (s *session) arrive(name string, request Request) {
	s.requests[name] = request
	decision := s.d.Submit(request, s.now)
	if decision.Ticket != nil {
		s.tickets[name] = decision.Ticket
		s.printf("%s arrives and waits, %d waiting", name, s.d.Snapshot(s.now).Waiting)
		s.collect()
		return
	}
	s.leases[name] = decision.Lease
	choices := s.d.Snapshot(s.now).Choices
	s.printf("%s arrives; %v", name, choices[len(choices)-1])
	s.collect()
}

// collect prints the decisions on waiting requests.
func (s *session) collect() {
	for _, name := range sortedKeys(s.tickets) {
		select {
		case decision := <-s.tickets[name].Done:
			delete(s.tickets, name)
			if decision.Rejection != nil {
				s.printf("%s is rejected: %v, retry after %v", name, decision.Rejection.Cause, decision.Rejection.RetryAfter.Round(time.Millisecond))
				continue
			}
			s.leases[name] = decision.Lease
			s.printf("%s is granted %v", name, decision.Lease.Target)
		default:
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// end releases the lease of a request.
func (s *session) end(name string, r Result) {
	l := s.leases[name]
	if l == nil {
		s.printf("%s has no target", name)
		return
	}
	s.printf("%s at %v: %v after %v %s", name, l.Target, r.Ending, s.now.Sub(l.Since), r.State)
	l.Release(r, s.now)
	s.collect()
}

// hedge asks for a hedge of a request. It stores the hedge's lease under the
// request's name followed by an apostrophe.
func (s *session) hedge(name string) {
	request := s.requests[name]
	request.Exclude = []netip.AddrPort{s.leases[name].Target}
	l, ok := s.d.Hedge(request, s.now)
	if !ok {
		s.printf("%s is slow at %v; no hedge", name, s.leases[name].Target)
		return
	}
	s.leases[name+"'"] = l
	s.printf("%s is slow at %v; hedge at %v", name, s.leases[name].Target, l.Target)
}

// sendAndEnd submits one request and ends it unless it is rejected.
func (s *session) sendAndEnd(name string, result func(at netip.AddrPort) Result, after time.Duration) {
	s.arrive(name, s.request(resolver.Urgent))
	if s.leases[name] != nil {
		s.wait(after)
		s.end(name, result(s.leases[name].Target))
	}
}

func done(netip.AddrPort) Result   { return Result{Ending: retrier.Done} }
func failed(netip.AddrPort) Result { return Result{Ending: retrier.Failed} }

// sessions holds one session for each rule and each fault. The file of the same
// name in testdata holds its expected output.
var sessions = []struct {
	name    string
	targets int
	run     func(*session)
}{
	{"slow target", 2, func(s *session) {
		s.arrive("lookup 1", s.request(resolver.Urgent))
		for i := 2; i < 6; i++ {
			s.wait(6 * time.Millisecond)
			s.arrive(fmt.Sprint("lookup ", i), s.request(resolver.Urgent))
			s.wait(time.Millisecond)
			s.end(fmt.Sprint("lookup ", i), done(address(0)))
		}
		s.end("lookup 1", done(address(0)))
		s.arrive("lookup 6", s.request(resolver.Urgent))
		s.end("lookup 6", Result{Ending: retrier.Canceled})
		s.wait(400 * time.Millisecond)
		s.arrive("lookup 7", s.request(resolver.Urgent))
	}},
	{"draining target", 2, func(s *session) {
		s.arrive("lookup 1", s.request(resolver.Urgent))
		s.end("lookup 1", Result{Ending: retrier.Shed, State: StateDraining})
		s.arrive("lookup 2", s.request(resolver.Urgent))
		s.arrive("lookup 3", s.request(resolver.Urgent))
		s.configure()
		s.printf("the list still contains the draining run")
		s.arrive("lookup 4", s.request(resolver.Urgent))
		for i := range s.targets {
			s.targets[i].Start = "2"
		}
		s.configure()
		s.printf("both targets have new start ids")
		s.arrive("lookup 5", s.request(resolver.Urgent))
	}},
	{"fast failing target", 3, func(s *session) {
		next := uint64(0)
		s.d.Random = func() uint64 { next++; return next - 1 }
		for i := range 12 {
			s.arrive(fmt.Sprint("lookup ", i), s.request(resolver.Urgent))
			if s.leases[fmt.Sprint("lookup ", i)].Target == address(0) {
				s.wait(100 * time.Microsecond)
				s.end(fmt.Sprint("lookup ", i), failed(address(0)))
				s.wait(300 * time.Millisecond)
				continue
			}
			s.wait(4 * time.Millisecond)
			s.end(fmt.Sprint("lookup ", i), done(address(1)))
			s.wait(200 * time.Millisecond)
		}
	}},
	{"half-open trial", 2, func(s *session) {
		for range 3 {
			s.d.configuration.Load().set.Candidates[0].Target.RecordFailure(3, time.Second, s.now)
		}
		s.d.configuration.Load().set.UpdateEjection()
		s.printf("a has failed three times in a row")
		s.arrive("lookup 1", s.request(resolver.Urgent))
		s.wait(1500 * time.Millisecond)
		s.arrive("lookup 2", s.request(resolver.Urgent))
		s.arrive("lookup 3", s.request(resolver.Urgent))
		s.arrive("lookup 4", s.request(resolver.Urgent))
		for _, name := range sortedKeys(s.leases) {
			s.end(name, done(address(0)))
		}
		s.arrive("lookup 5", s.request(resolver.Urgent))
	}},
	{"fleet-wide failure", 3, func(s *session) {
		for i := range 14 {
			s.sendAndEnd(fmt.Sprint("lookup ", i), failed, time.Millisecond)
		}
	}},
	{"cold start", 2, func(s *session) {
		s.targets[1].Start, s.targets[1].Since = "2", s.now
		s.configure()
		for _, age := range []int{0, 1, 3, 9, 10} {
			s.now = s.start.Add(time.Duration(age) * time.Second)
			taken := 0
			for range 1000 {
				decision := s.d.Submit(s.request(resolver.Urgent), s.now)
				if decision.Lease.Target == address(1) {
					taken++
				}
				decision.Lease.Release(Result{Ending: retrier.Done, Latency: 4 * time.Millisecond}, s.now)
			}
			s.printf("b started %d s ago and takes %d of 1000 lookups, one at a time", age, taken)
		}
	}},
	{"burst above capacity", 1, func(s *session) {
		s.policy.Queue = 3
		s.configure()
		for i, p := range []resolver.Priority{0, 0, 0, 2, 1, 2, 0, 0, 0, 0} {
			s.arrive(fmt.Sprintf("%s %d", [...]string{"lookup", "history", "sync"}[p], i), s.request(p))
		}
		for i := range 3 {
			s.wait(4 * time.Millisecond)
			s.end(fmt.Sprint("lookup ", i), done(address(0)))
		}
		s.wait(100 * time.Millisecond)
	}},
	{"aged request", 1, func(s *session) {
		s.policy.Queue, s.policy.MaxWait = 64, 200*time.Millisecond
		s.configure()
		for i := range 3 {
			s.arrive(fmt.Sprintf("lookup %02d", i), s.request(resolver.Urgent))
		}
		s.arrive("sync", s.request(resolver.Queued))
		for i := 3; s.tickets["sync"] != nil && i < 60; i++ {
			s.arrive(fmt.Sprintf("lookup %02d", i), s.request(resolver.Urgent))
			s.wait(5 * time.Millisecond)
			s.end(fmt.Sprintf("lookup %02d", i-3), done(address(0)))
		}
	}},
	{"deadline cannot be met", 1, func(s *session) {
		tooLate := s.request(resolver.Urgent)
		tooLate.Deadline = s.now.Add(3 * time.Millisecond)
		s.arrive("lookup 0", tooLate)
		for i := 1; i < 5; i++ {
			s.arrive(fmt.Sprint("lookup ", i), s.request(resolver.Urgent))
		}
		tight := s.request(resolver.Urgent)
		tight.Deadline = s.now.Add(6 * time.Millisecond)
		s.arrive("lookup 5", tight)
	}},
	{"hedge into free capacity", 2, func(s *session) {
		s.arrive("lookup 1", s.request(resolver.Urgent))
		s.wait(16 * time.Millisecond)
		s.hedge("lookup 1")
		s.wait(3 * time.Millisecond)
		s.end("lookup 1'", done(address(0)))
		s.end("lookup 1", Result{Ending: retrier.Canceled})
	}},
	{"no hedge in overload", 2, func(s *session) {
		for i := range 7 {
			s.arrive(fmt.Sprint("lookup ", i), s.request(resolver.Urgent))
		}
		s.wait(16 * time.Millisecond)
		s.hedge("lookup 0")
		once := s.request(resolver.Urgent)
		once.Policy.AtMostOnce = true
		s.end("lookup 1", done(address(0)))
		s.end("lookup 2", done(address(0)))
		s.requests["lookup 0"] = once
		s.printf("lookup 0 is of a kind that must run at most once")
		s.hedge("lookup 0")
	}},
	{"retry budget exhausted", 2, func(s *session) {
		for i := range 12 {
			ok, after := s.d.Retry(s.request(resolver.Urgent), retrier.Failed, s.now)
			s.printf("lookup %d failed; retry: %v after %v", i, ok, after)
		}
		once := s.request(resolver.Urgent)
		once.Policy.AtMostOnce, once.Policy.RetryRatio = true, 1
		for range 10 {
			s.d.fillBudgets(&once)
		}
		for _, ending := range []retrier.Ending{retrier.Failed, retrier.Lost, retrier.Shed, retrier.Unsent} {
			ok, after := s.d.Retry(once, ending, s.now)
			s.printf("an order confirmation ended %v; retry: %v after %v", ending, ok, after)
		}
	}},
	{"every target tried", 2, func(s *session) {
		s.arrive("lookup 1", s.request(resolver.Urgent))
		s.end("lookup 1", Result{Ending: retrier.Shed, State: StateShed})
		again := s.request(resolver.Urgent)
		again.Attempts, again.Exclude = 1, []netip.AddrPort{s.leases["lookup 1"].Target}
		s.arrive("lookup 1 again", again)
		s.end("lookup 1 again", Result{Ending: retrier.Unsent})
		again.Exclude = append(again.Exclude, s.leases["lookup 1 again"].Target)
		s.arrive("lookup 1 once more", again)
	}},
	{"stale report", 2, func(s *session) {
		s.d.UpdateLoad(address(0), Report{Running: 2, Queued: 2, Slots: 2}, s.now)
		s.printf("a reports 2 running and 2 queued")
		for _, age := range []time.Duration{0, 20, 80, 1000} {
			s.now = s.start.Add(age * time.Millisecond)
			s.arrive(fmt.Sprintf("lookup %d", age), s.request(resolver.Urgent))
			s.end(fmt.Sprintf("lookup %d", age), done(address(0)))
		}
		s.d.UpdateLoad(address(0), Report{Running: 9, Slots: 2}, s.start)
		s.printf("an older report arrives later and changes nothing")
		s.arrive("lookup", s.request(resolver.Urgent))
	}},
	{"connection share", 1, func(s *session) {
		for _, connections := range []int{250, 64, 32, 16} {
			s.policy.Connections = connections
			s.configure()
			s.printf("%d connections over %d instances: limit %d", connections, s.policy.Fleet, s.d.Snapshot(s.now).Targets[0].Limit)
		}
		s.arrive("lookup", s.request(resolver.Urgent))
	}},
	{"borrowed target", 2, func(s *session) {
		s.targets[1].Owned = false
		s.configure()
		s.printf("b has another owner")
		for i := range 4 {
			s.arrive(fmt.Sprint("lookup ", i), s.request(resolver.Urgent))
		}
		s.d.UpdateLoad(address(1), Report{Slots: 2}, s.now)
		s.printf("b reports that it is idle")
		s.wait(time.Millisecond)
		for i := range 3 {
			s.arrive(fmt.Sprint("lookup ", 4+i), s.request(resolver.Urgent))
		}
	}},
}

// The test compares the decisions in each session with its golden file, so that an
// unintended change of a rule is noticed.
func TestSessions(t *testing.T) {
	for _, c := range sessions {
		t.Run(c.name, func(t *testing.T) {
			s := newSession(c.targets)
			c.run(s)
			goldie.New(t).Assert(t, strings.ReplaceAll(c.name, " ", "-"), []byte(s.output.String()))
		})
	}
}
