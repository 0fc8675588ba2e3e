package loader

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// backoff is the pause before the next attempt if the response names none or a
// shorter one.
const backoff = 20 * time.Millisecond

// Run sends the load and returns when all requests have ended.
func Run(ctx context.Context, s Settings) (*Result, error) {
	before, err := s.Sampler.Read(ctx)
	if err != nil {
		return nil, err
	}
	lookups := &atomic.Int64{}
	callers := make([]*caller, s.Callers)
	for i := range callers {
		callers[i] = newCaller(s, s.Seed*1000+int64(i), lookups)
	}
	finished := &collector{}
	var running sync.WaitGroup
	begin := time.Now()
	for i, load := range s.KindLoads {
		running.Go(func() {
			random := rand.New(rand.NewSource(s.Seed + int64(i)))
			generate(ctx, s, load, random, begin, func(n int, due time.Time) {
				c := callers[random.Intn(len(callers))]
				running.Go(func() {
					id := fmt.Sprintf("%s%d-%d-%d", s.IDPrefix, s.Seed, i, n)
					finished.add(c.runRequest(ctx, load, id, due))
				})
			})
		})
	}
	running.Wait()
	after, err := s.Sampler.Read(ctx)
	if err != nil {
		return nil, err
	}
	return &Result{
		Seed: s.Seed, Begin: begin, Duration: s.Duration, AddressLookups: lookups.Load(),
		Usage: after.Sub(before), Requests: finished.requests,
	}, nil
}

// generate calls start with the number and scheduled time of each request of one
// kind. The gaps are distributed exponentially.
func generate(ctx context.Context, s Settings, load KindLoad, random *rand.Rand, begin time.Time, start func(int, time.Time)) {
	due := begin
	for n := 0; ; n++ {
		rate := load.Rate
		if s.Burst.active(due.Sub(begin)) {
			rate *= s.Burst.Factor
		}
		due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if due.Sub(begin) > s.Duration {
			return
		}
		if !sleep(ctx, time.Until(due)) {
			return
		}
		start(n, due)
	}
}

// sleep pauses for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runRequest makes the attempts of one request and returns the request with its
// outcome.
func (c *caller) runRequest(ctx context.Context, load KindLoad, id string, due time.Time) Request {
	ctx, cancel := context.WithDeadline(ctx, due.Add(c.settings.RequestTimeout))
	defer cancel()
	r := Request{ID: id, Service: load.Service, Kind: load.Kind, AtMostOnce: load.AtMostOnce, Begin: due, Outcome: Unsent}
	t := &requestState{caller: c, load: load, key: kindKey{load.Service, load.Kind}}
	for sent := 0; sent < c.settings.MaxAttempts && ctx.Err() == nil; {
		a, wait, ended := t.attempt(ctx, Attempt{ID: fmt.Sprintf("%s.%d", id, len(r.Attempts)+1)})
		r.Attempts = append(r.Attempts, a)
		if a.Outcome != Unsent {
			sent++
			r.Outcome, r.Status = combineOutcome(r, a), a.Status
		}
		if ended || !sleep(ctx, wait) {
			break
		}
	}
	r.Latency = time.Since(due)
	return r
}

// combineOutcome returns the outcome of a request after a further attempt. A request
// of a kind that runs at most once stays unknown after an attempt that may have run,
// until an attempt is done.
func combineOutcome(r Request, a Attempt) Outcome {
	if a.Outcome == NotExecuted && r.Outcome == Unknown && r.AtMostOnce {
		return Unknown
	}
	return a.Outcome
}

// requestState is the state of a request between its attempts.
type requestState struct {
	caller *caller
	load   KindLoad
	key    kindKey
	// cached is the address set in use, position the position of the address in use,
	// and failed the number of its addresses that failed.
	cached           *addressSet
	position, failed int
	// operation is the operation id in use. It changes only while no run under it is
	// possible: after a rejection that says so, or if the id was never sent.
	operation string
	// maybeReceived is set when an instance may have received a request with the
	// operation id in use.
	maybeReceived bool
}

// attempt makes one attempt. It returns the pause before the next one and whether
// the request has ended.
func (t *requestState) attempt(ctx context.Context, a Attempt) (Attempt, time.Duration, bool) {
	address, err := t.address(ctx)
	if err != nil {
		a.Outcome, a.Error = Unsent, err.Error()
		return a, backoff, false
	}
	if t.load.AtMostOnce && t.operation == "" {
		t.operation = t.newOperation(a, address)
	}
	a.Operation = t.operation
	attemptCtx, cancel := ctx, func() {}
	if timeout := t.caller.settings.AttemptTimeout; timeout > 0 {
		attemptCtx, cancel = context.WithTimeout(ctx, timeout)
	}
	defer cancel()
	a = t.caller.send(attemptCtx, t.load, a, address)
	t.maybeReceived = t.maybeReceived || a.Operation != "" && a.Outcome != Unsent
	return a, t.prepareNext(a, address), a.Outcome == Done || a.Final
}

// address returns the address to use. It looks up new addresses when all known ones
// have failed.
func (t *requestState) address(ctx context.Context) (netip.AddrPort, error) {
	if t.cached != nil && t.failed >= len(t.cached.Addresses) {
		t.caller.discard(t.key, t.cached)
		t.cached = nil
	}
	if t.cached == nil {
		cached, err := t.caller.addressesFor(ctx, t.key, time.Now())
		if err != nil {
			return netip.AddrPort{}, err
		}
		t.cached, t.position, t.failed = cached, cached.startPosition(), 0
	}
	return t.cached.Addresses[t.position], nil
}

// nextAddress moves on to the next address of the set.
func (t *requestState) nextAddress() {
	t.position = (t.position + 1) % len(t.cached.Addresses)
	t.failed++
}

// newOperation returns a new operation id, or "" if no executor is known. The
// executor token of an address set belongs to its first address.
func (t *requestState) newOperation(a Attempt, address netip.AddrPort) string {
	executor := t.cached.Executor
	if executor == "" || t.position > 0 {
		executor = t.caller.executor(address)
	}
	if executor == "" {
		return ""
	}
	return executor + "/" + requestID(a.ID)
}

// prepareNext prepares the next attempt and returns the pause before it.
func (t *requestState) prepareNext(a Attempt, address netip.AddrPort) time.Duration {
	if a.Status == 0 {
		t.cached.recordFailure(t.position)
	}
	switch {
	case a.Outcome == Unsent:
		t.nextAddress()
		if !t.maybeReceived {
			t.operation = ""
		}
		if t.failed >= len(t.cached.Addresses) {
			return backoff
		}
		return 0
	case a.Outcome == NotExecuted && a.executor != "":
		t.caller.rememberExecutor(address, a.executor)
		t.operation, t.maybeReceived = a.executor+"/"+requestID(a.ID), false
		if a.Status == http.StatusConflict {
			return 0
		}
	case a.Outcome == Unknown || a.Status == http.StatusServiceUnavailable:
		t.nextAddress()
	}
	return max(a.RetryAfter, backoff)
}
