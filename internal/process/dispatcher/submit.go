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

// Request is a request that needs a target.
type Request struct {
	// Policy holds the settings of the request's kind.
	Policy *resolver.Policy
	// Deadline is when the response is due; zero means the kind's deadline from now
	// on.
	Deadline time.Time
	// Exclude lists the targets of earlier attempts.
	Exclude []netip.AddrPort
	// Attempts counts the earlier attempts. Only a first attempt adds to the retry
	// and hedge budgets.
	Attempts int
	// Now is the time at which Acquire is called, in the caller's clock; zero means
	// time.Now.
	Now time.Time
}

func (r *Request) deadline(now time.Time) time.Time {
	if r.Deadline.IsZero() {
		return now.Add(r.Policy.Deadline)
	}
	return r.Deadline
}

// Rejection says why an attempt got no target. The attempt was not sent. Rejection
// is served as JSON; the tag keeps the name of the field there.
type Rejection struct {
	Cause queuer.Cause
	// RetryAfter is the time after which the caller may send the request again; 0
	// means that sending it again is useless.
	RetryAfter time.Duration `json:"Retry"`
}

// Decision is the result of Submit. Exactly one of its fields is set.
type Decision struct {
	Lease     *Lease
	Ticket    *Ticket
	Rejection *Rejection
}

// Ticket is a request that waits for capacity. The final Decision, a lease or a
// rejection, is sent to Done exactly once.
type Ticket struct {
	// Done is buffered for the one Decision.
	Done chan Decision

	entry   queuer.Ticket
	request Request
}

// Expires returns the time at which a ticket that has not been granted is
// rejected. The caller must call ServeQueue at that time.
func (t *Ticket) Expires() time.Time { return t.entry.Expires }

// Bounds of the time after which a rejected request may be sent again.
const (
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// noTargetRetryAfter is the time for a service without usable targets.
	noTargetRetryAfter = 500 * time.Millisecond
	// retryJitterDivisor gives the greatest random addition as a fraction of the
	// time. The addition spreads the requests that are rejected together.
	retryJitterDivisor = 4
)

// grantLookahead bounds how many tickets are tried when the first ones exclude
// the targets that have capacity.
const grantLookahead = 4

// Acquire returns a lease or a rejection. It blocks while the request waits for
// capacity, at most until ctx is done.
func (d *Dispatcher) Acquire(ctx context.Context, request Request) (*Lease, *Rejection) {
	started := time.Now()
	if request.Now.IsZero() {
		request.Now = started
	}
	decision := d.Submit(request, request.Now)
	if decision.Ticket == nil {
		return decision.Lease, decision.Rejection
	}
	ticket := decision.Ticket
	clock := func() time.Time { return request.Now.Add(time.Since(started)) }
	poll := time.NewTicker(pollPeriod)
	defer poll.Stop()
	for {
		select {
		case decision = <-ticket.Done:
			return decision.Lease, decision.Rejection
		case <-poll.C:
			d.poll(ticket, clock())
		case <-ctx.Done():
			if d.Cancel(ticket, clock()) {
				return nil, &Rejection{Cause: queuer.Withdrawn}
			}
			decision = <-ticket.Done
			return decision.Lease, decision.Rejection
		}
	}
}

// pollPeriod is the time between two polls for capacity that appears with time
// alone: a report ages, an ejection ends, or a target starts. No event announces
// these changes, and while no request is outstanding here, no release serves the
// queue either.
const pollPeriod = 5 * time.Millisecond

// poll serves the queue. Before t expires, it does so only if no waiting request
// has polled within pollPeriod.
func (d *Dispatcher) poll(t *Ticket, now time.Time) {
	last, at := d.lastPoll.Load(), int64(now.Sub(d.origin))
	if now.Before(t.Expires()) && (at-last < int64(pollPeriod) || !d.lastPoll.CompareAndSwap(last, at)) {
		return
	}
	d.ServeQueue(now)
}

// Submit grants a request capacity at a target, queues it, or rejects it.
func (d *Dispatcher) Submit(request Request, now time.Time) Decision {
	if d.Baseline != nil {
		if lease := d.acquireBaseline(&request, now); lease != nil {
			d.fillBudgets(&request)
			return Decision{Lease: lease}
		}
	}
	estimate := d.latencyEstimate(request.Policy.Kind)
	deadline := request.deadline(now)
	if !now.Add(estimate.Mean()).Before(deadline) {
		return d.reject(&request, queuer.DeadlineUnreachable, minRetryAfter, now)
	}
	if len(request.Exclude) > 0 && d.triedAllUsable(request.Exclude) {
		request.Exclude = nil
	}
	if d.waiting.Load() == 0 {
		if lease := d.pick(&request, chooser.Query{NoSpare: d.noSpare(request.Policy)}, now); lease != nil {
			d.fillBudgets(&request)
			return Decision{Lease: lease}
		}
	}
	return d.enqueue(request, estimate, deadline, now)
}

// triedAllUsable reports whether the list contains all usable targets. The
// request may then go to one of them again.
func (d *Dispatcher) triedAllUsable(exclude []netip.AddrPort) bool {
	set := d.configuration.Load().set
	return set != nil && !set.HasUsable(exclude)
}

// noSpare reports whether requests of a kind may not use the capacity beyond the
// targets' slots, which is reserved for urgent requests.
func (d *Dispatcher) noSpare(p *resolver.Policy) bool {
	return d.Tuning.ReserveSpare && p.Priority != resolver.Urgent
}

// fillBudgets adds to the retry and hedge budgets if this is the request's first
// attempt.
func (d *Dispatcher) fillBudgets(request *Request) {
	if request.Attempts == 0 {
		d.retrier.RecordFirstAttempt(request.Policy)
	}
}

// pick takes capacity for a request, or returns nil when there is none.
func (d *Dispatcher) pick(request *Request, q chooser.Query, now time.Time) *Lease {
	set := d.configuration.Load().set
	if set == nil {
		return nil
	}
	estimate := d.latencyEstimate(request.Policy.Kind)
	q.Exclude, q.NormalLatency, q.Random = request.Exclude, estimate.Mean(), d.Random()
	c, inFlight, ok := set.Pick(q, now)
	if !ok {
		return nil
	}
	d.recorder.recordGrant(set, c, q, request.Policy.Kind, now)
	return &Lease{Target: c.Target.Address, Since: now, dispatcher: d, target: c.Target, inFlight: inFlight, estimate: estimate}
}

// enqueue queues a request in the order of priority and arrival. It rejects the
// request if there is no usable target, if it cannot be granted in time or if the
// queue is full. A full queue may drop a waiting request of lower priority instead.
func (d *Dispatcher) enqueue(request Request, estimate *chooser.LatencyEstimate, deadline, now time.Time) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.hasUsable() {
		return d.reject(&request, queuer.NoTarget, noTargetRetryAfter, now)
	}
	expected := d.queue.ExpectedWait(d.queue.Ahead(request.Policy.Priority)+1, d.assumedRate(estimate))
	until, cause := waitLimit(request.Policy, deadline, estimate.Mean(), now)
	if !now.Add(expected).Before(until) {
		return d.reject(&request, cause, expected, now)
	}
	t := &Ticket{Done: make(chan Decision, 1), request: request}
	t.entry = queuer.Ticket{Priority: request.Policy.Priority, Arrived: now, Expires: until, Cause: cause, Value: t}
	displaced, ok := d.queue.Push(&t.entry)
	if !ok {
		return d.reject(&request, queuer.Full, d.queue.ExpectedWait(d.queue.Len(), d.assumedRate(estimate)), now)
	}
	if displaced != nil {
		d.rejectTicket(displaced, queuer.Displaced, now)
	}
	d.waiting.Store(int32(d.queue.Len()))
	d.serveQueueLocked(now)
	select {
	case decision := <-t.Done:
		return decision
	default:
		return Decision{Ticket: t}
	}
}

// waitLimit returns the time until which a request may wait and the cause of its
// rejection at that time.
func waitLimit(p *resolver.Policy, deadline time.Time, normalLatency time.Duration, now time.Time) (time.Time, queuer.Cause) {
	until := deadline.Add(-normalLatency)
	if p.MaxWait > 0 && now.Add(p.MaxWait).Before(until) {
		return now.Add(p.MaxWait), queuer.WaitExpired
	}
	return until, queuer.DeadlineUnreachable
}

// hasUsable reports whether some target may take requests, now or once it has
// capacity.
func (d *Dispatcher) hasUsable() bool {
	set := d.configuration.Load().set
	return set != nil && set.HasUsable(nil)
}

// assumedRate returns the grants per second that the targets should reach; 0 means
// unknown.
func (d *Dispatcher) assumedRate(estimate *chooser.LatencyEstimate) float64 {
	if estimate.Mean() == 0 {
		return 0
	}
	return float64(d.configuration.Load().set.Capacity()) / estimate.Mean().Seconds()
}

func (d *Dispatcher) reject(request *Request, cause queuer.Cause, retryAfter time.Duration, now time.Time) Decision {
	r := &Rejection{Cause: cause, RetryAfter: d.jitteredRetryAfter(retryAfter)}
	d.recorder.recordRejection(request.Policy.Kind, r, now)
	return Decision{Rejection: r}
}

// jitteredRetryAfter keeps a time between minRetryAfter and maxRetryAfter and adds
// a random part to it.
func (d *Dispatcher) jitteredRetryAfter(base time.Duration) time.Duration {
	after := min(maxRetryAfter, max(minRetryAfter, base))
	return after + time.Duration(d.Random()%uint64(after/retryJitterDivisor))
}

// rejectTicket rejects a ticket that is no longer in the queue. The caller holds
// mu.
func (d *Dispatcher) rejectTicket(entry *queuer.Ticket, cause queuer.Cause, now time.Time) {
	t := entry.Value.(*Ticket)
	// With an assumed rate of 0 the expected wait is nearly 0 until the queue has
	// measured a rate of grants.
	t.Done <- d.reject(&t.request, cause, d.queue.ExpectedWait(d.queue.Len()+1, 0), now)
}

// serveQueueLocked is ServeQueue for a caller that holds mu.
func (d *Dispatcher) serveQueueLocked(now time.Time) {
	for d.queue.Len() > 0 {
		if expired := d.queue.PopExpired(now); expired != nil {
			d.rejectTicket(expired, expired.Cause, now)
			continue
		}
		var lease *Lease
		entry := d.queue.Grant(now, grantLookahead, func(e *queuer.Ticket, aged bool) bool {
			request := &e.Value.(*Ticket).request
			// An aged request may use the spare capacity too, so that it is not starved.
			lease = d.pick(request, chooser.Query{NoSpare: d.noSpare(request.Policy) && !aged}, now)
			return lease != nil
		})
		if entry == nil {
			break
		}
		t := entry.Value.(*Ticket)
		d.fillBudgets(&t.request)
		t.Done <- Decision{Lease: lease}
	}
	d.waiting.Store(int32(d.queue.Len()))
}

// Cancel withdraws a waiting ticket. It returns false when the ticket has ended
// already; its Decision is then in Done.
func (d *Dispatcher) Cancel(t *Ticket, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.queue.Remove(&t.entry) {
		return false
	}
	d.serveQueueLocked(now)
	return true
}

// ServeQueue rejects the tickets whose time is over and grants further ones while
// there is capacity.
func (d *Dispatcher) ServeQueue(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serveQueueLocked(now)
}

// Hedge grants a copy of a slow request if the hedge budget allows it, no request
// of the same or a higher priority waits, and a target has capacity. The request
// excludes the target of the first attempt.
func (d *Dispatcher) Hedge(request Request, now time.Time) (*Lease, bool) {
	if !d.retrier.Hedge(request.Policy, d.overloaded(request.Policy.Priority)) {
		return nil, false
	}
	lease := d.pick(&request, chooser.Query{MaxSlowdown: maxHedgeSlowdown}, now)
	if lease == nil {
		d.retrier.ReturnHedge()
		return nil, false
	}
	return lease, true
}

// overloaded reports whether requests of the priority or a higher one wait for
// capacity.
func (d *Dispatcher) overloaded(p resolver.Priority) bool {
	if d.waiting.Load() == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Ahead(p) > 0
}

// maxHedgeSlowdown is the greatest slowdown of a target at which a hedge is worth
// its cost.
const maxHedgeSlowdown = 2

// Retry decides whether a request may be retried after an attempt with the given
// ending, and returns the delay of the retry.
func (d *Dispatcher) Retry(request Request, ending retrier.Ending, now time.Time) (bool, time.Duration) {
	return d.retrier.Retry(request.Policy, ending, request.Attempts+1, request.deadline(now), now)
}
