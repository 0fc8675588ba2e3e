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

// session tells what a Dispatcher decides, line by line.
type session struct {
	d       *Dispatcher
	begun   time.Time
	now     time.Time
	out     strings.Builder
	service resolver.Policy
	targets []Target
	leases  map[string]*Lease
	wants   map[string]Request
	tickets map[string]*Ticket
}

func newSession(targets int) *session {
	begun := time.Unix(1000, 0)
	s := &session{
		d: New("himal", "lookup"), begun: begun, now: begun,
		service: resolver.Policy{
			Kind: "find", Deadline: 250 * time.Millisecond, Wait: 100 * time.Millisecond, Queue: 4, Retries: 0.1,
			Hedge: 15 * time.Millisecond, Ratio: 0.03, Slots: 2, Spare: 1, Failures: 3, Eject: time.Second,
			Connections: 250, Fleet: 32, Ramp: 10 * time.Second,
		},
		leases: map[string]*Lease{}, wants: map[string]Request{}, tickets: map[string]*Ticket{},
	}
	s.d.record.every = 0
	s.d.Random = rand.New(rand.NewSource(1)).Uint64
	for i := range targets {
		s.targets = append(s.targets, Target{Address: address(i), Start: "1", Owned: true, Since: begun.Add(-time.Hour)})
	}
	s.configure()
	for range 40 {
		s.d.normal("find").Observe(4 * time.Millisecond)
	}
	return s
}

func (s *session) configure() { s.d.Configure(&s.service, s.targets, s.now) }

func (s *session) say(format string, arguments ...any) {
	line := strings.TrimSpace(fmt.Sprintf(format, arguments...))
	for i := range s.targets {
		line = strings.ReplaceAll(line, address(i).String(), string(rune('a'+i)))
	}
	fmt.Fprintf(&s.out, "%9.3f ms  %s\n", float64(s.now.Sub(s.begun))/float64(time.Millisecond), line)
}

func (s *session) wait(d time.Duration) {
	s.now = s.now.Add(d)
	s.d.ServeQueue(s.now)
	s.settle()
}

// want returns what a request of the priority wants.
func (s *session) want(p resolver.Priority) Request {
	policy := s.service
	policy.Priority = p
	return Request{Policy: &policy, Deadline: s.now.Add(policy.Deadline)}
}

func (s *session) arrives(name string, want Request) {
	s.wants[name] = want
	answer := s.d.Submit(want, s.now)
	if answer.Ticket != nil {
		s.tickets[name] = answer.Ticket
		s.say("%s arrives and waits, %d waiting", name, s.d.Snapshot(s.now).Waiting)
		s.settle()
		return
	}
	s.leases[name] = answer.Lease
	choices := s.d.Snapshot(s.now).Choices
	s.say("%s arrives; %v", name, choices[len(choices)-1])
	s.settle()
}

func (s *session) settle() {
	for _, name := range sorted(s.tickets) {
		select {
		case answer := <-s.tickets[name].Done:
			delete(s.tickets, name)
			if answer.Rejection != nil {
				s.say("%s is refused: %v, come back in %v", name, answer.Rejection.Cause, answer.Rejection.RetryAfter.Round(time.Millisecond))
				continue
			}
			s.leases[name] = answer.Lease
			s.say("%s is granted %v", name, answer.Lease.Target)
		default:
		}
	}
}

func sorted[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *session) ends(name string, r Result) {
	l := s.leases[name]
	if l == nil {
		s.say("%s has no target", name)
		return
	}
	s.say("%s at %v: %v after %v %s", name, l.Target, r.Ending, s.now.Sub(l.Since), r.State)
	l.Release(r, s.now)
	s.settle()
}

func (s *session) hedges(name string) {
	want := s.wants[name]
	want.Exclude = []netip.AddrPort{s.leases[name].Target}
	l, ok := s.d.Hedge(want, s.now)
	if !ok {
		s.say("%s is slow at %v; no second try", name, s.leases[name].Target)
		return
	}
	s.leases[name+"'"] = l
	s.say("%s is slow at %v; second try at %v", name, s.leases[name].Target, l.Target)
}

// round sends one request and ends it, unless it is refused.
func (s *session) round(name string, r func(at netip.AddrPort) Result, after time.Duration) {
	s.arrives(name, s.want(resolver.Urgent))
	if s.leases[name] != nil {
		s.wait(after)
		s.ends(name, r(s.leases[name].Target))
	}
}

func done(netip.AddrPort) Result   { return Result{Ending: retrier.Done} }
func failed(netip.AddrPort) Result { return Result{Ending: retrier.Failed} }

// sessions holds one story per rule and fault.
var sessions = []struct {
	name    string
	targets int
	story   func(*session)
}{
	{"slow target", 2, func(s *session) {
		s.arrives("lookup 1", s.want(resolver.Urgent))
		for i := 2; i < 6; i++ {
			s.wait(6 * time.Millisecond)
			s.arrives(fmt.Sprint("lookup ", i), s.want(resolver.Urgent))
			s.wait(time.Millisecond)
			s.ends(fmt.Sprint("lookup ", i), done(address(0)))
		}
		s.ends("lookup 1", done(address(0)))
		s.arrives("lookup 6", s.want(resolver.Urgent))
		s.ends("lookup 6", Result{Ending: retrier.Canceled})
		s.wait(400 * time.Millisecond)
		s.arrives("lookup 7", s.want(resolver.Urgent))
	}},
	{"draining target", 2, func(s *session) {
		s.arrives("lookup 1", s.want(resolver.Urgent))
		s.ends("lookup 1", Result{Ending: retrier.Shed, State: StateDraining})
		s.arrives("lookup 2", s.want(resolver.Urgent))
		s.arrives("lookup 3", s.want(resolver.Urgent))
		s.configure()
		s.say("the list still names the draining run")
		s.arrives("lookup 4", s.want(resolver.Urgent))
		for i := range s.targets {
			s.targets[i].Start = "2"
		}
		s.configure()
		s.say("the targets show a new start")
		s.arrives("lookup 5", s.want(resolver.Urgent))
	}},
	{"fast failing target", 3, func(s *session) {
		turn := uint64(0)
		s.d.Random = func() uint64 { turn++; return turn - 1 }
		for i := range 12 {
			s.arrives(fmt.Sprint("lookup ", i), s.want(resolver.Urgent))
			if s.leases[fmt.Sprint("lookup ", i)].Target == address(0) {
				s.wait(100 * time.Microsecond)
				s.ends(fmt.Sprint("lookup ", i), failed(address(0)))
				s.wait(300 * time.Millisecond)
				continue
			}
			s.wait(4 * time.Millisecond)
			s.ends(fmt.Sprint("lookup ", i), done(address(1)))
			s.wait(200 * time.Millisecond)
		}
	}},
	{"half-open trial", 2, func(s *session) {
		for range 3 {
			s.d.view.Load().set.Candidates[0].Target.Fail(3, time.Second, s.now)
		}
		s.d.view.Load().set.Recount()
		s.say("a has failed three times in a row")
		s.arrives("lookup 1", s.want(resolver.Urgent))
		s.wait(1500 * time.Millisecond)
		s.arrives("lookup 2", s.want(resolver.Urgent))
		s.arrives("lookup 3", s.want(resolver.Urgent))
		s.arrives("lookup 4", s.want(resolver.Urgent))
		for _, name := range sorted(s.leases) {
			s.ends(name, done(address(0)))
		}
		s.arrives("lookup 5", s.want(resolver.Urgent))
	}},
	{"fleet-wide failure", 3, func(s *session) {
		for i := range 14 {
			s.round(fmt.Sprint("lookup ", i), failed, time.Millisecond)
		}
	}},
	{"cold start", 2, func(s *session) {
		s.targets[1].Start, s.targets[1].Since = "2", s.now
		s.configure()
		for _, age := range []int{0, 1, 3, 9, 10} {
			s.now = s.begun.Add(time.Duration(age) * time.Second)
			taken := 0
			for range 1000 {
				a := s.d.Submit(s.want(resolver.Urgent), s.now)
				if a.Lease.Target == address(1) {
					taken++
				}
				a.Lease.Release(Result{Ending: retrier.Done, Latency: 4 * time.Millisecond}, s.now)
			}
			s.say("b started %d s ago and takes %d of 1000 lookups, one at a time", age, taken)
		}
	}},
	{"burst above capacity", 1, func(s *session) {
		s.service.Queue = 3
		s.configure()
		for i, p := range []resolver.Priority{0, 0, 0, 2, 1, 2, 0, 0, 0, 0} {
			s.arrives(fmt.Sprintf("%s %d", [...]string{"lookup", "history", "sync"}[p], i), s.want(p))
		}
		for i := range 3 {
			s.wait(4 * time.Millisecond)
			s.ends(fmt.Sprint("lookup ", i), done(address(0)))
		}
		s.wait(100 * time.Millisecond)
	}},
	{"aged request", 1, func(s *session) {
		s.service.Queue, s.service.Wait = 64, 200*time.Millisecond
		s.configure()
		for i := range 3 {
			s.arrives(fmt.Sprintf("lookup %02d", i), s.want(resolver.Urgent))
		}
		s.arrives("sync", s.want(resolver.Queued))
		for i := 3; s.tickets["sync"] != nil && i < 60; i++ {
			s.arrives(fmt.Sprintf("lookup %02d", i), s.want(resolver.Urgent))
			s.wait(5 * time.Millisecond)
			s.ends(fmt.Sprintf("lookup %02d", i-3), done(address(0)))
		}
	}},
	{"deadline cannot be met", 1, func(s *session) {
		late := s.want(resolver.Urgent)
		late.Deadline = s.now.Add(3 * time.Millisecond)
		s.arrives("lookup 0", late)
		for i := 1; i < 5; i++ {
			s.arrives(fmt.Sprint("lookup ", i), s.want(resolver.Urgent))
		}
		tight := s.want(resolver.Urgent)
		tight.Deadline = s.now.Add(6 * time.Millisecond)
		s.arrives("lookup 5", tight)
	}},
	{"second try into free room", 2, func(s *session) {
		s.arrives("lookup 1", s.want(resolver.Urgent))
		s.wait(16 * time.Millisecond)
		s.hedges("lookup 1")
		s.wait(3 * time.Millisecond)
		s.ends("lookup 1'", done(address(0)))
		s.ends("lookup 1", Result{Ending: retrier.Canceled})
	}},
	{"no second try in overload", 2, func(s *session) {
		for i := range 7 {
			s.arrives(fmt.Sprint("lookup ", i), s.want(resolver.Urgent))
		}
		s.wait(16 * time.Millisecond)
		s.hedges("lookup 0")
		once := s.want(resolver.Urgent)
		once.Policy.Once = true
		s.ends("lookup 1", done(address(0)))
		s.ends("lookup 2", done(address(0)))
		s.wants["lookup 0"] = once
		s.say("lookup 0 is of a kind that runs at most once")
		s.hedges("lookup 0")
	}},
	{"retry budget exhausted", 2, func(s *session) {
		for i := range 12 {
			ok, after := s.d.Retry(s.want(resolver.Urgent), retrier.Failed, s.now)
			s.say("lookup %d failed; try again: %v after %v", i, ok, after)
		}
		once := s.want(resolver.Urgent)
		once.Policy.Once, once.Policy.Retries = true, 1
		for range 10 {
			s.d.granted(&once)
		}
		for _, ending := range []retrier.Ending{retrier.Failed, retrier.Lost, retrier.Shed, retrier.Unsent} {
			ok, after := s.d.Retry(once, ending, s.now)
			s.say("an order confirmation ended %v; try again: %v after %v", ending, ok, after)
		}
	}},
	{"every target tried", 2, func(s *session) {
		s.arrives("lookup 1", s.want(resolver.Urgent))
		s.ends("lookup 1", Result{Ending: retrier.Shed, State: StateShed})
		again := s.want(resolver.Urgent)
		again.Attempts, again.Exclude = 1, []netip.AddrPort{s.leases["lookup 1"].Target}
		s.arrives("lookup 1 again", again)
		s.ends("lookup 1 again", Result{Ending: retrier.Unsent})
		again.Exclude = append(again.Exclude, s.leases["lookup 1 again"].Target)
		s.arrives("lookup 1 once more", again)
	}},
	{"stale report", 2, func(s *session) {
		s.d.UpdateLoad(address(0), Report{Running: 2, Queued: 2, Slots: 2}, s.now)
		s.say("a reports 2 running and 2 queued")
		for _, age := range []time.Duration{0, 20, 80, 1000} {
			s.now = s.begun.Add(age * time.Millisecond)
			s.arrives(fmt.Sprintf("lookup %d", age), s.want(resolver.Urgent))
			s.ends(fmt.Sprintf("lookup %d", age), done(address(0)))
		}
		s.d.UpdateLoad(address(0), Report{Running: 9, Slots: 2}, s.begun)
		s.say("an older report arrives late and changes nothing")
		s.arrives("lookup", s.want(resolver.Urgent))
	}},
	{"connection share", 1, func(s *session) {
		for _, connections := range []int{250, 64, 32, 16} {
			s.service.Connections = connections
			s.configure()
			s.say("%d connections over %d instances: limit %d", connections, s.service.Fleet, s.d.Snapshot(s.now).Targets[0].Limit)
		}
		s.arrives("lookup", s.want(resolver.Urgent))
	}},
	{"borrowed target", 2, func(s *session) {
		s.targets[1].Owned = false
		s.configure()
		s.say("b belongs to another instance")
		for i := range 4 {
			s.arrives(fmt.Sprint("lookup ", i), s.want(resolver.Urgent))
		}
		s.d.UpdateLoad(address(1), Report{Slots: 2}, s.now)
		s.say("b reports to be idle")
		s.wait(time.Millisecond)
		for i := range 3 {
			s.arrives(fmt.Sprint("lookup ", 4+i), s.want(resolver.Urgent))
		}
	}},
}

// TestSessions compares whole sessions with their golden files.
func TestSessions(t *testing.T) {
	for _, c := range sessions {
		t.Run(c.name, func(t *testing.T) {
			s := newSession(c.targets)
			c.story(s)
			goldie.New(t).Assert(t, strings.ReplaceAll(c.name, " ", "-"), []byte(s.out.String()))
		})
	}
}
