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

// machine is a state machine that drives a Dispatcher with random steps and counts
// what the Dispatcher grants. The faulty variants replace its function fields and
// spareSlots.
type machine struct {
	d       *Dispatcher
	now     time.Time
	policy  resolver.Policy
	leases  []*Lease
	tickets []*Ticket
	firstAttempts, hedges, retries,
	endedTickets, queuedTickets int

	release    func(l *Lease, r Result, now time.Time)
	hedge      func(request Request, now time.Time) (*Lease, bool)
	retry      func(request Request, e retrier.Ending, now time.Time) bool
	spareSlots int
}

func newMachine() *machine {
	m := &machine{d: New("himal", "lookup"), now: time.Unix(1000, 0), spareSlots: 1}
	m.d.Random = rand.New(rand.NewSource(1)).Uint64
	m.policy = resolver.Policy{
		Kind: "find", Deadline: time.Second, MaxWait: 300 * time.Millisecond, Queue: 8, Slots: 2, Spare: 1,
		HedgeDelay: time.Millisecond, HedgeRatio: 0.03, RetryRatio: 0.1, Failures: 3, EjectionTime: 50 * time.Millisecond,
	}
	m.release = (*Lease).Release
	m.hedge = m.d.Hedge
	m.retry = func(request Request, e retrier.Ending, now time.Time) bool {
		ok, _ := m.d.Retry(request, e, now)
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
	p.Spare = m.spareSlots
	m.d.Configure(&p, list, m.now)
}

// randomSteps lists the possible random steps. A frequent step is listed twice.
var randomSteps = []func(m *machine, n int){
	(*machine).arrive, (*machine).arrive, (*machine).endLease, (*machine).endLease,
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
			m.endedTickets++
			return true
		})
	},
	func(m *machine, _ int) {
		if l, ok := m.hedge(m.request(0), m.now); ok {
			m.hedges++
			m.leases = append(m.leases, l)
		}
	},
	func(m *machine, _ int) {
		if m.retry(m.request(0), retrier.Failed, m.now) {
			m.retries++
		}
	},
}

// request returns a request; n determines its priority.
func (m *machine) request(n int) Request {
	p := m.policy
	p.Priority = resolver.Priority(n % 3)
	return Request{Policy: &p}
}

func (m *machine) arrive(n int) {
	decision := m.d.Submit(m.request(n), m.now)
	switch {
	case decision.Lease != nil:
		m.firstAttempts++
		m.leases = append(m.leases, decision.Lease)
	case decision.Ticket != nil:
		m.queuedTickets++
		m.tickets = append(m.tickets, decision.Ticket)
	}
}

// endLease releases one lease; n determines which one and which of the six endings
// it has.
func (m *machine) endLease(n int) {
	if len(m.leases) == 0 {
		return
	}
	i := n % len(m.leases)
	l := m.leases[i]
	m.leases = append(m.leases[:i], m.leases[i+1:]...)
	m.release(l, Result{Ending: retrier.Ending(n % 6)}, m.now)
}

// violation describes a violated invariant, or returns "".
func (m *machine) violation() string {
	violation := ""
	m.tickets = slices.DeleteFunc(m.tickets, func(t *Ticket) bool {
		select {
		case decision := <-t.Done:
			m.endedTickets++
			if (decision.Lease == nil) == (decision.Rejection == nil) {
				violation = "a ticket ended without a lease or a rejection, or with both"
			}
			if decision.Lease != nil {
				m.firstAttempts++
				m.leases = append(m.leases, decision.Lease)
			}
			return true
		default:
			return false
		}
	})
	if violation != "" {
		return violation
	}
	s := m.d.Snapshot(m.now)
	hasCapacity := false
	for _, t := range s.Targets {
		if t.Outstanding > m.policy.Slots+m.policy.Spare {
			return fmt.Sprintf("%d outstanding at %v, more than its slots and spare capacity", t.Outstanding, t.Address)
		}
		hasCapacity = hasCapacity || t.Exclusion == 0
	}
	for _, t := range m.tickets {
		if hasCapacity && t.entry.Priority == resolver.Urgent {
			return "an urgent request waits while a target has capacity"
		}
	}
	if len(m.tickets) != s.Waiting {
		return fmt.Sprintf("%d tickets have not ended, but %d wait in the queue", len(m.tickets), s.Waiting)
	}
	if float64(m.hedges) > m.policy.HedgeRatio*float64(m.firstAttempts)+retrier.MaxTokens {
		return fmt.Sprintf("%d hedges after %d first attempts, more than the hedge budget allows", m.hedges, m.firstAttempts)
	}
	if float64(m.retries) > m.policy.RetryRatio*float64(m.firstAttempts)+retrier.MaxTokens {
		return fmt.Sprintf("%d retries after %d first attempts, more than the retry budget allows", m.retries, m.firstAttempts)
	}
	return ""
}

// run takes the steps and then lets all requests end. It returns the first
// violated invariant, or "".
func (m *machine) run(choices []uint16) string {
	m.configure(3)
	for _, c := range choices {
		randomSteps[int(c)%len(randomSteps)](m, int(c)/len(randomSteps))
		if violation := m.violation(); violation != "" {
			return violation
		}
	}
	m.now = m.now.Add(time.Minute)
	m.d.ServeQueue(m.now)
	for len(m.leases) > 0 || len(m.tickets) > 0 {
		if violation := m.violation(); violation != "" {
			return violation
		}
		if len(m.leases) == 0 && len(m.tickets) > 0 {
			return "a ticket was neither granted nor rejected after its deadline"
		}
		m.endLease(0)
	}
	for _, t := range m.d.Snapshot(m.now).Targets {
		if t.Outstanding != 0 {
			return fmt.Sprintf("%d outstanding at %v after all requests ended, want 0", t.Outstanding, t.Address)
		}
	}
	if m.endedTickets != m.queuedTickets {
		return fmt.Sprintf("%d tickets were queued, but %d ended", m.queuedTickets, m.endedTickets)
	}
	return ""
}

// invariantsHold reports whether the invariants hold in random runs of a variant.
func invariantsHold(t *testing.T, change func(*machine)) bool {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng = rand.New(rand.NewSource(1))
	parameters.MinSuccessfulTests, parameters.MaxSize = 300, 400
	p := gopter.NewProperties(parameters)
	p.Property("invariants", prop.ForAll(func(choices []uint16) string {
		m := newMachine()
		change(m)
		return m.run(choices)
	}, gen.SliceOf(gen.UInt16())))
	return p.Run(gopter.NewFormatedReporter(false, 100, logWriter{t}))
}

type logWriter struct{ t *testing.T }

func (w logWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", p)
	return len(p), nil
}

// faultyVariants each violate an invariant.
var faultyVariants = map[string]func(*machine){
	"no limit": func(m *machine) { m.spareSlots = 100 },
	"no hedge budget": func(m *machine) {
		m.hedge = func(request Request, now time.Time) (*Lease, bool) {
			m.d.retrier.ReturnHedge()
			return m.d.Hedge(request, now)
		}
	},
	"no retry budget": func(m *machine) { m.retry = func(Request, retrier.Ending, time.Time) bool { return true } },
	"release does not serve the queue": func(m *machine) {
		m.release = func(l *Lease, _ Result, _ time.Time) { l.target.End(l.inFlight) }
	},
	"release does not return capacity": func(m *machine) {
		m.release = func(l *Lease, r Result, now time.Time) { l.dispatcher.recordResult(l, r, now) }
	},
}

// Random arrivals, endings, cancellations and configurations must not exceed a
// limit or a budget and must not lose a ticket. The faulty variants show that the
// invariants detect such faults.
func TestInvariants(t *testing.T) {
	if !invariantsHold(t, func(*machine) {}) {
		t.Error("the Dispatcher violates an invariant, which the log above names")
	}
	for name, change := range faultyVariants {
		if invariantsHold(t, change) {
			t.Errorf("no run of the faulty variant %q violates an invariant", name)
		}
	}
}

// failingTargetShare returns the share of requests that go to a target that ends
// each of them quickly with the given ending. Ejection is off.
func failingTargetShare(ending retrier.Ending) float64 {
	m := newMachine()
	m.policy.Failures = 0
	m.configure(3)
	taken := 0
	const requests = 3000
	for range requests {
		l := m.d.Submit(m.request(0), m.now).Lease
		r := Result{Ending: retrier.Done, Latency: 4 * time.Millisecond}
		if l.Target == address(0) {
			taken++
			r = Result{Ending: ending, Latency: 50 * time.Microsecond}
		}
		m.now = m.now.Add(4 * time.Millisecond)
		l.Release(r, m.now)
	}
	return float64(taken) / requests
}

// A target that fails requests quickly must get fewer requests than the others.
// It would get more if its failures counted as fast responses; such responses
// must fail the same check.
func TestFailingTargetGetsFewRequests(t *testing.T) {
	const fair = 1.0 / 3
	if share := failingTargetShare(retrier.Failed); share > fair/2 {
		t.Errorf("the failing target takes %.2f of the requests, want at most half of a fair third", share)
	}
	if share := failingTargetShare(retrier.Done); share <= fair/2 {
		t.Errorf("the test accepts failures that count as fast responses: the target takes %.2f of the requests, want more than half of a fair third", share)
	}
}

// grantsWhenAllFail reports whether requests are still granted while all targets
// fail and the given share of them may be ejected.
func grantsWhenAllFail(maxEjectedShare float64) bool {
	m := newMachine()
	m.d.Tuning.MaxEjectedShare = maxEjectedShare
	m.configure(6)
	for range 100 {
		l := m.d.Submit(m.request(0), m.now).Lease
		if l == nil {
			return false
		}
		m.now = m.now.Add(100 * time.Microsecond)
		l.Release(Result{Ending: retrier.Failed}, m.now)
	}
	return true
}

// When all targets fail at once, ejecting them would leave none for the requests.
// A variant that may eject all targets must fail.
func TestFleetWideFailureEjectsNoTarget(t *testing.T) {
	if !grantsWhenAllFail(New("", "").Tuning.MaxEjectedShare) {
		t.Error("no target takes requests when all targets fail")
	}
	if grantsWhenAllFail(1) {
		t.Error("the test accepts that all targets are ejected")
	}
}
