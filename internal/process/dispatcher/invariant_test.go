package dispatcher

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"oriolecourse.example/oriolecourse/internal/request/retrier"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// machine is a Dispatcher under random steps; its function fields are replaced
// by broken variants.
type machine struct {
	d       *Dispatcher
	now     time.Time
	policy  resolver.Policy
	leases  []*Lease
	tickets []*Ticket
	firsts, hedges, retries,
	ends, pushed int

	release func(l *Lease, r Result, now time.Time)
	hedge   func(want Request, now time.Time) (*Lease, bool)
	retry   func(want Request, e retrier.Ending, now time.Time) bool
	spare   int
}

func newMachine() *machine {
	m := &machine{d: New("himal", "lookup"), now: time.Unix(1000, 0), spare: 1}
	m.d.Random = rand.New(rand.NewSource(1)).Uint64
	m.policy = resolver.Policy{
		Kind: "find", Deadline: time.Second, Wait: 300 * time.Millisecond, Queue: 8, Slots: 2, Spare: 1,
		Hedge: time.Millisecond, Ratio: 0.03, Retries: 0.1, Failures: 3, Eject: 50 * time.Millisecond,
	}
	m.release = (*Lease).Release
	m.hedge = m.d.Hedge
	m.retry = func(want Request, e retrier.Ending, now time.Time) bool {
		ok, _ := m.d.Retry(want, e, now)
		return ok
	}
	return m
}

func (m *machine) configure(targets int) {
	list := make([]Target, targets)
	for i := range list {
		list[i] = Target{Address: address(i), Start: "1", Owned: true, Since: m.now.Add(-time.Hour)}
	}
	p := m.policy
	p.Spare = m.spare
	m.d.Configure(&p, list, m.now)
}

// randomSteps lists what a random step may do; the more frequent ones stand twice.
var randomSteps = []func(m *machine, n int){
	(*machine).arrive, (*machine).arrive, (*machine).end, (*machine).end,
	func(m *machine, n int) {
		m.now = m.now.Add(time.Duration(n) * 100 * time.Microsecond)
		m.d.ServeQueue(m.now)
	},
	func(m *machine, n int) { m.configure(1 + n%4) },
	func(m *machine, n int) {
		m.tickets = slices.DeleteFunc(m.tickets, func(t *Ticket) bool {
			n--
			if n%3 != 0 || !m.d.Cancel(t, m.now) {
				return false
			}
			m.ends++
			return true
		})
	},
	func(m *machine, _ int) {
		if l, ok := m.hedge(m.want(0), m.now); ok {
			m.hedges++
			m.leases = append(m.leases, l)
		}
	},
	func(m *machine, _ int) {
		if m.retry(m.want(0), retrier.Failed, m.now) {
			m.retries++
		}
	},
}

func (m *machine) want(n int) Request {
	p := m.policy
	p.Priority = resolver.Priority(n % 3)
	return Request{Policy: &p}
}

func (m *machine) arrive(n int) {
	a := m.d.Submit(m.want(n), m.now)
	switch {
	case a.Lease != nil:
		m.firsts++
		m.leases = append(m.leases, a.Lease)
	case a.Ticket != nil:
		m.pushed++
		m.tickets = append(m.tickets, a.Ticket)
	}
}

func (m *machine) end(n int) {
	if len(m.leases) == 0 {
		return
	}
	i := n % len(m.leases)
	l := m.leases[i]
	m.leases = append(m.leases[:i], m.leases[i+1:]...)
	m.release(l, Result{Ending: retrier.Ending(n % 6)}, m.now)
}

// check returns the broken invariant, or nothing.
func (m *machine) check() string {
	broken := ""
	m.tickets = slices.DeleteFunc(m.tickets, func(t *Ticket) bool {
		select {
		case a := <-t.Done:
			m.ends++
			if (a.Lease == nil) == (a.Rejection == nil) {
				broken = "a ticket ended without a lease or a refusal"
			}
			if a.Lease != nil {
				m.firsts++
				m.leases = append(m.leases, a.Lease)
			}
			return true
		default:
			return false
		}
	})
	if broken != "" {
		return broken
	}
	s := m.d.Snapshot(m.now)
	room := false
	for _, t := range s.Targets {
		if t.Outstanding > m.policy.Slots+m.policy.Spare {
			return fmt.Sprintf("%d outstanding at %v", t.Outstanding, t.Address)
		}
		room = room || t.Bar == 0
	}
	for _, t := range m.tickets {
		if room && t.entry.Priority == resolver.Urgent {
			return "an urgent request waits while a target has room"
		}
	}
	if len(m.tickets) != s.Waiting {
		return fmt.Sprintf("%d tickets have no end and %d wait", len(m.tickets), s.Waiting)
	}
	if float64(m.hedges) > m.policy.Ratio*float64(m.firsts)+retrier.MaxTokens {
		return fmt.Sprintf("%d second tries of %d", m.hedges, m.firsts)
	}
	if float64(m.retries) > m.policy.Retries*float64(m.firsts)+retrier.MaxTokens {
		return fmt.Sprintf("%d retries of %d", m.retries, m.firsts)
	}
	return ""
}

// session runs the steps and then lets all requests end.
func (m *machine) session(choices []uint16) string {
	m.configure(3)
	for _, c := range choices {
		randomSteps[int(c)%len(randomSteps)](m, int(c)/len(randomSteps))
		if broken := m.check(); broken != "" {
			return broken
		}
	}
	m.now = m.now.Add(time.Minute)
	m.d.ServeQueue(m.now)
	for len(m.leases) > 0 || len(m.tickets) > 0 {
		if broken := m.check(); broken != "" {
			return broken
		}
		if len(m.leases) == 0 && len(m.tickets) > 0 {
			return "a ticket was lost"
		}
		m.end(0)
	}
	for _, t := range m.d.Snapshot(m.now).Targets {
		if t.Outstanding != 0 {
			return fmt.Sprintf("%d outstanding at %v when all is over", t.Outstanding, t.Address)
		}
	}
	if m.ends != m.pushed {
		return fmt.Sprintf("%d tickets and %d ends", m.pushed, m.ends)
	}
	return ""
}

// holds tells whether the invariants hold for random sessions of a variant.
func holds(t *testing.T, change func(*machine)) bool {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng = rand.New(rand.NewSource(1))
	parameters.MinSuccessfulTests, parameters.MaxSize = 300, 400
	p := gopter.NewProperties(parameters)
	p.Property("invariants", prop.ForAll(func(choices []uint16) string {
		m := newMachine()
		change(m)
		return m.session(choices)
	}, gen.SliceOf(gen.UInt16())))
	return p.Run(gopter.NewFormatedReporter(false, 100, logWriter{t}))
}

type logWriter struct{ t *testing.T }

func (w logWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", p)
	return len(p), nil
}

// variants are broken; the invariants must reject each.
var variants = map[string]func(*machine){
	"no limit": func(m *machine) { m.spare = 100 },
	"no hedge budget": func(m *machine) {
		m.hedge = func(want Request, now time.Time) (*Lease, bool) {
			m.d.retry.ReturnHedge()
			return m.d.Hedge(want, now)
		}
	},
	"no retry budget": func(m *machine) { m.retry = func(Request, retrier.Ending, time.Time) bool { return true } },
	"release leaves waiters": func(m *machine) {
		m.release = func(l *Lease, _ Result, _ time.Time) { l.target.End(l.mark) }
	},
	"release forgets the room": func(m *machine) {
		m.release = func(l *Lease, r Result, now time.Time) { l.dispatcher.learn(l, r, now) }
	},
}

func TestInvariants(t *testing.T) {
	if !holds(t, func(*machine) {}) {
		t.Error("an invariant is broken")
	}
	for name, change := range variants {
		if holds(t, change) {
			t.Errorf("the invariants accept the variant %q", name)
		}
	}
}

// failingShare returns the share of requests that a target gets that fails them
// at once, before any ejection.
func failingShare(kind retrier.Ending) float64 {
	m := newMachine()
	m.policy.Failures = 0
	m.configure(3)
	taken := 0
	const requests = 3000
	for range requests {
		l := m.d.Submit(m.want(0), m.now).Lease
		r := Result{Ending: retrier.Done, Latency: 4 * time.Millisecond}
		if l.Target == address(0) {
			taken++
			r = Result{Ending: kind, Latency: 50 * time.Microsecond}
		}
		m.now = m.now.Add(4 * time.Millisecond)
		l.Release(r, m.now)
	}
	return float64(taken) / requests
}

// TestFailingTargetAttractsNothing fails when failures count as fast answers.
func TestFailingTargetAttractsNothing(t *testing.T) {
	const fair = 1.0 / 3
	if share := failingShare(retrier.Failed); share > fair/2 {
		t.Errorf("the failing target takes %.2f of the requests", share)
	}
	if share := failingShare(retrier.Done); share <= fair/2 {
		t.Errorf("the check accepts failures that count as fast answers: %.2f", share)
	}
}

// grantedWhenAllFail tells whether a request still gets a target after all
// targets have failed, with the part of them that may be ejected.
func grantedWhenAllFail(part float64) bool {
	m := newMachine()
	m.d.Tuning.Part = part
	m.configure(6)
	for range 100 {
		l := m.d.Submit(m.want(0), m.now).Lease
		if l == nil {
			return false
		}
		m.now = m.now.Add(100 * time.Microsecond)
		l.Release(Result{Ending: retrier.Failed}, m.now)
	}
	return true
}

// TestFleetWideFailureEjectsNobody fails when any number may be ejected.
func TestFleetWideFailureEjectsNobody(t *testing.T) {
	if !grantedWhenAllFail(New("", "").Tuning.Part) {
		t.Error("no target is left when all fail")
	}
	if grantedWhenAllFail(1) {
		t.Error("the check accepts that all targets are ejected")
	}
}
