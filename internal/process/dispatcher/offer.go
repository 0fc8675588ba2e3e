package dispatcher

import (
	"context"
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/chooser"
	"oriolecourse.example/oriolecourse/internal/request/queuer"
	"oriolecourse.example/oriolecourse/internal/request/retrier"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Request states what a request wants.
type Request struct {
	// Policy holds the settings of the request's kind.
	Policy *resolver.Policy
	// Deadline is when the answer is due; zero means the kind's from now on.
	Deadline time.Time
	// Exclude lists targets that have had the request before.
	Exclude []netip.AddrPort
	// Attempts counts earlier tries of the request; they fill no budget.
	Attempts int
	// Now is the present time of Acquire.
	Now time.Time
}

func (w *Request) due(now time.Time) time.Time {
	if w.Deadline.IsZero() {
		return now.Add(w.Policy.Deadline)
	}
	return w.Deadline
}

// Rejection says why a request was not granted a target. It was not run.
type Rejection struct {
	Cause queuer.Cause
	// RetryAfter is when to come back; 0 when coming back is useless.
	RetryAfter time.Duration
}

// Decision is what Offer decides: exactly one of its fields is set.
type Decision struct {
	Lease     *Lease
	Ticket    *Ticket
	Rejection *Rejection
}

// Ticket is a request that waits for room. Its end, a lease or a refusal, is
// sent to Done exactly once.
type Ticket struct {
	// Done has room for the one answer.
	Done chan Decision

	entry queuer.Ticket
	want  Request
}

// Expires returns when the ticket is refused unless granted before; Expire is to
// be called then.
func (t *Ticket) Expires() time.Time { return t.entry.Expires }

// Bounds of the time after which a refused request may come back.
const (
	soonestRetry = 10 * time.Millisecond
	latestRetry  = 5 * time.Second
	// targetless is when to come back to a service without usable targets.
	targetless = 500 * time.Millisecond
	// jitterPart is the part of the time that is added at random, so that refused
	// requests do not come back at once.
	jitterPart = 4
)

// grantDepth bounds how many tickets are tried for room when the first ones
// exclude the targets that have some.
const grantDepth = 4

// Acquire returns a lease, or a refusal. It blocks while the request waits for
// room, until ctx is done.
func (d *Dispatcher) Acquire(ctx context.Context, want Request) (*Lease, *Rejection) {
	started := time.Now()
	if want.Now.IsZero() {
		want.Now = started
	}
	answer := d.Submit(want, want.Now)
	if answer.Ticket == nil {
		return answer.Lease, answer.Rejection
	}
	ticket := answer.Ticket
	present := func() time.Time { return want.Now.Add(time.Since(started)) }
	look := time.NewTicker(lookPeriod)
	defer look.Stop()
	for {
		select {
		case answer = <-ticket.Done:
			return answer.Lease, answer.Rejection
		case <-look.C:
			d.look(ticket, present())
		case <-ctx.Done():
			if d.Cancel(ticket, present()) {
				return nil, &Rejection{Cause: queuer.Withdrawn}
			}
			answer = <-ticket.Done
			return answer.Lease, answer.Rejection
		}
	}
}

// lookPeriod is the time between two looks for room that comes with time alone:
// a report grows old, an ejection ends, a target starts. No event tells of these,
// and while no request is outstanding here none ends either.
const lookPeriod = 5 * time.Millisecond

// look looks for room unless another waiting request has just done so.
func (d *Dispatcher) look(t *Ticket, now time.Time) {
	last, at := d.looked.Load(), int64(now.Sub(d.origin))
	if now.Before(t.Expires()) && (at-last < int64(lookPeriod) || !d.looked.CompareAndSwap(last, at)) {
		return
	}
	d.ServeQueue(now)
}

// Submit grants a request room at a target, queues it, or refuses it.
func (d *Dispatcher) Submit(want Request, now time.Time) Decision {
	if d.Baseline != nil {
		if lease := d.plain(&want, now); lease != nil {
			d.granted(&want)
			return Decision{Lease: lease}
		}
	}
	n := d.normal(want.Policy.Kind)
	due := want.due(now)
	if !now.Add(n.Mean()).Before(due) {
		return d.refuse(&want, queuer.DeadlineUnreachable, soonestRetry, now)
	}
	if len(want.Exclude) > 0 && d.excludesAll(want.Exclude) {
		want.Exclude = nil
	}
	if d.waiting.Load() == 0 {
		if lease := d.pick(&want, chooser.Query{Reserved: d.reserved(want.Policy)}, now); lease != nil {
			d.granted(&want)
			return Decision{Lease: lease}
		}
	}
	return d.enqueue(want, n, due, now)
}

// excludesAll tells whether no usable target is left, in which case a request
// may go again where it has been.
func (d *Dispatcher) excludesAll(exclude []netip.AddrPort) bool {
	set := d.view.Load().set
	return set != nil && !set.Usable(exclude)
}

// reserved tells whether a kind is kept out of the room beyond the targets' slots,
// which stays free for urgent requests.
func (d *Dispatcher) reserved(p *resolver.Policy) bool {
	return d.Tuning.ReserveSpare && p.Priority != resolver.Urgent
}

// granted fills the budgets for a first try.
func (d *Dispatcher) granted(want *Request) {
	if want.Attempts == 0 {
		d.retry.RecordFirstAttempt(want.Policy)
	}
}

// pick takes room for a request, or returns nil.
func (d *Dispatcher) pick(want *Request, q chooser.Query, now time.Time) *Lease {
	set := d.view.Load().set
	if set == nil {
		return nil
	}
	n := d.normal(want.Policy.Kind)
	q.Exclude, q.Normal, q.Random = want.Exclude, n.Mean(), d.Random()
	c, mark, ok := set.Pick(q, now)
	if !ok {
		return nil
	}
	d.record.grant(set, c, q, want.Policy.Kind, now)
	return &Lease{Target: c.Target.Address, Since: now, dispatcher: d, target: c.Target, mark: mark, normal: n}
}

// enqueue lets a request wait, in the order of priority and arrival.
func (d *Dispatcher) enqueue(want Request, n *chooser.Normal, due, now time.Time) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.usable() {
		return d.refuse(&want, queuer.NoTarget, targetless, now)
	}
	expected := d.queue.ExpectedWait(d.queue.Ahead(want.Policy.Priority)+1, d.assumedRate(n))
	until, cause := patience(want.Policy, due, n.Mean(), now)
	if !now.Add(expected).Before(until) {
		return d.refuse(&want, cause, expected, now)
	}
	t := &Ticket{Done: make(chan Decision, 1), want: want}
	t.entry = queuer.Ticket{Priority: want.Policy.Priority, Arrived: now, Expires: until, Cause: cause, Value: t}
	displaced, ok := d.queue.Push(&t.entry)
	if !ok {
		return d.refuse(&want, queuer.Full, d.queue.ExpectedWait(d.queue.Len(), d.assumedRate(n)), now)
	}
	if displaced != nil {
		d.end(displaced, queuer.Displaced, now)
	}
	d.waiting.Store(int32(d.queue.Len()))
	d.drain(now)
	select {
	case answer := <-t.Done:
		return answer
	default:
		return Decision{Ticket: t}
	}
}

// patience returns until when a request may wait and why it is refused then.
func patience(p *resolver.Policy, due time.Time, normal time.Duration, now time.Time) (time.Time, queuer.Cause) {
	until := due.Add(-normal)
	if p.Wait > 0 && now.Add(p.Wait).Before(until) {
		return now.Add(p.Wait), queuer.WaitExpired
	}
	return until, queuer.DeadlineUnreachable
}

// usable tells whether some target may have requests at all.
func (d *Dispatcher) usable() bool {
	set := d.view.Load().set
	return set != nil && set.Usable(nil)
}

// assumedRate returns the grants per second that the targets should reach.
func (d *Dispatcher) assumedRate(n *chooser.Normal) float64 {
	if n.Mean() == 0 {
		return 0
	}
	return float64(d.view.Load().set.Capacity()) / n.Mean().Seconds()
}

func (d *Dispatcher) refuse(want *Request, cause queuer.Cause, expected time.Duration, now time.Time) Decision {
	r := &Rejection{Cause: cause, RetryAfter: d.comeBack(expected)}
	d.record.refuse(want.Policy.Kind, r, now)
	return Decision{Rejection: r}
}

// comeBack bounds and spreads the time after which a refused request may return.
func (d *Dispatcher) comeBack(expected time.Duration) time.Duration {
	after := min(latestRetry, max(soonestRetry, expected))
	return after + time.Duration(d.Random()%uint64(after/jitterPart))
}

// end refuses a ticket that has left the queue. It is called with mu held.
func (d *Dispatcher) end(entry *queuer.Ticket, cause queuer.Cause, now time.Time) {
	t := entry.Value.(*Ticket)
	t.Done <- d.refuse(&t.want, cause, d.queue.ExpectedWait(d.queue.Len()+1, 0), now)
}

// drain grants waiting tickets while there is room. It is called with mu held.
func (d *Dispatcher) drain(now time.Time) {
	for d.queue.Len() > 0 {
		if overdue := d.queue.PopExpired(now); overdue != nil {
			d.end(overdue, overdue.Cause, now)
			continue
		}
		var lease *Lease
		entry := d.queue.Grant(now, grantDepth, func(e *queuer.Ticket, aged bool) bool {
			want := &e.Value.(*Ticket).want
			lease = d.pick(want, chooser.Query{Reserved: d.reserved(want.Policy) && !aged}, now)
			return lease != nil
		})
		if entry == nil {
			break
		}
		t := entry.Value.(*Ticket)
		d.granted(&t.want)
		t.Done <- Decision{Lease: lease}
	}
	d.waiting.Store(int32(d.queue.Len()))
}

// Cancel withdraws a waiting ticket. It returns false when the ticket has ended
// already; its end is then in Done.
func (d *Dispatcher) Cancel(t *Ticket, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.queue.Remove(&t.entry) {
		return false
	}
	d.drain(now)
	return true
}

// ServeQueue refuses the tickets whose time is over.
func (d *Dispatcher) ServeQueue(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drain(now)
}

// Hedge grants a second try of a slow request, within the budget, into room that
// no first try of its priority or above waits for. want excludes the target of
// the first try.
func (d *Dispatcher) Hedge(want Request, now time.Time) (*Lease, bool) {
	if !d.retry.Hedge(want.Policy, d.overloaded(want.Policy.Priority)) {
		return nil, false
	}
	lease := d.pick(&want, chooser.Query{Slowest: hedgeSlowest}, now)
	if lease == nil {
		d.retry.ReturnHedge()
		return nil, false
	}
	return lease, true
}

// overloaded tells whether requests of the priority or above wait for room.
func (d *Dispatcher) overloaded(p resolver.Priority) bool {
	if d.waiting.Load() == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Ahead(p) > 0
}

// hedgeSlowest is the slowness up to which a target is worth a second try.
const hedgeSlowest = 2

// Retry decides whether a request may be tried again after a try that ended so,
// and after which delay.
func (d *Dispatcher) Retry(want Request, ending retrier.Ending, now time.Time) (bool, time.Duration) {
	return d.retry.Retry(want.Policy, ending, want.Attempts+1, want.due(now), now)
}
