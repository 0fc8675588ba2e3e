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

// backoff is the pause before a new attempt when the system named none.
const backoff = 20 * time.Millisecond

// Run sends the whole load and returns when every request has ended.
func Run(ctx context.Context, s Settings) (*Result, error) {
	before, err := s.Sampler.Read(ctx)
	if err != nil {
		return nil, err
	}
	asked := &atomic.Int64{}
	callers := make([]*caller, s.Callers)
	for i := range callers {
		callers[i] = newCaller(s, s.Seed*1000+int64(i), asked)
	}
	done := &collector{}
	var running sync.WaitGroup
	begin := time.Now()
	for i, m := range s.KindLoads {
		running.Go(func() {
			random := rand.New(rand.NewSource(s.Seed + int64(i)))
			generate(ctx, s, m, random, begin, func(n int, due time.Time) {
				c := callers[random.Intn(len(callers))]
				running.Go(func() {
					id := fmt.Sprintf("%s%d-%d-%d", s.IDPrefix, s.Seed, i, n)
					done.add(c.serve(ctx, m, id, due))
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
		Seed: s.Seed, Begin: begin, Duration: s.Duration, AddressLookups: asked.Load(),
		Usage: after.Sub(before), Requests: done.requests,
	}, nil
}

// generate calls start at the seeded times of one mix.
func generate(ctx context.Context, s Settings, m KindLoad, random *rand.Rand, begin time.Time, start func(int, time.Time)) {
	due := begin
	for n := 0; ; n++ {
		rate := m.Rate
		if s.Burst.active(due.Sub(begin)) {
			rate *= s.Burst.Factor
		}
		due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if due.Sub(begin) > s.Duration {
			return
		}
		if !pause(ctx, time.Until(due)) {
			return
		}
		start(n, due)
	}
}

// pause sleeps unless the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
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

// serve brings one request to its end.
func (c *caller) serve(ctx context.Context, m KindLoad, id string, due time.Time) Request {
	ctx, cancel := context.WithDeadline(ctx, due.Add(c.settings.RequestTimeout))
	defer cancel()
	r := Request{ID: id, Service: m.Service, Kind: m.Kind, AtMostOnce: m.AtMostOnce, Begin: due, Outcome: Unsent}
	t := &trial{caller: c, mix: m, key: key{m.Service, m.Kind}}
	for sent := 0; sent < c.settings.MaxAttempts && ctx.Err() == nil; {
		a, wait, ended := t.next(ctx, Attempt{ID: fmt.Sprintf("%s.%d", id, len(r.Attempts)+1)})
		r.Attempts = append(r.Attempts, a)
		if a.Outcome != Unsent {
			sent++
			r.Outcome, r.Status = fold(r, a), a.Status
		}
		if ended || !pause(ctx, wait) {
			break
		}
	}
	r.Latency = time.Since(due)
	return r
}

// fold returns the outcome of a request after one more attempt. A request that
// may have run stays unknown until it is done.
func fold(r Request, a Attempt) Outcome {
	if a.Outcome == NotExecuted && r.Outcome == Unknown && r.AtMostOnce {
		return Unknown
	}
	return a.Outcome
}

// trial is the state of one request between its attempts.
type trial struct {
	caller *caller
	mix    KindLoad
	key    key
	// kept is the answer in use, position that of the address in use and failed
	// the number of its addresses that failed.
	kept             *answer
	position, failed int
	// operation is the operation id in use; it changes only while nothing can
	// have run under it: after a refusal that says so, or if it was never sent.
	operation string
	// exposed says that an instance may have received the operation id.
	exposed bool
}

// next makes one attempt and returns the pause before the next one, and whether
// the request has ended.
func (t *trial) next(ctx context.Context, a Attempt) (Attempt, time.Duration, bool) {
	address, err := t.address(ctx)
	if err != nil {
		a.Outcome, a.Error = Unsent, err.Error()
		return a, backoff, false
	}
	if t.mix.AtMostOnce && t.operation == "" {
		t.operation = t.identify(a, address)
	}
	a.Operation = t.operation
	bounded, cancel := ctx, func() {}
	if timeout := t.caller.settings.AttemptTimeout; timeout > 0 {
		bounded, cancel = context.WithTimeout(ctx, timeout)
	}
	defer cancel()
	a = t.caller.send(bounded, t.mix, a, address)
	t.exposed = t.exposed || a.Operation != "" && a.Outcome != Unsent
	return a, t.after(a, address), a.Outcome == Done || a.Final
}

// address returns the address to use, asking anew when all have failed.
func (t *trial) address(ctx context.Context) (netip.AddrPort, error) {
	if t.kept != nil && t.failed >= len(t.kept.Addresses) {
		t.caller.forget(t.key, t.kept)
		t.kept = nil
	}
	if t.kept == nil {
		kept, err := t.caller.addresses(ctx, t.key, time.Now())
		if err != nil {
			return netip.AddrPort{}, err
		}
		t.kept, t.position, t.failed = kept, kept.begin(), 0
	}
	return t.kept.Addresses[t.position], nil
}

// advance goes on to the next address.
func (t *trial) advance() {
	t.position = (t.position + 1) % len(t.kept.Addresses)
	t.failed++
}

// identify returns a new operation id, or none when no executor is known. The
// executor of an answer is its first instance.
func (t *trial) identify(a Attempt, address netip.AddrPort) string {
	token := t.kept.Executor
	if token == "" || t.position > 0 {
		token = t.caller.token(address)
	}
	if token == "" {
		return ""
	}
	return token + "/" + base(a.ID)
}

// after prepares the next attempt and returns the pause before it.
func (t *trial) after(a Attempt, address netip.AddrPort) time.Duration {
	if a.Status == 0 {
		t.kept.fail(t.position)
	}
	switch {
	case a.Outcome == Unsent:
		t.advance()
		if !t.exposed {
			t.operation = ""
		}
		if t.failed >= len(t.kept.Addresses) {
			return backoff
		}
		return 0
	case a.Outcome == NotExecuted && a.executor != "":
		t.caller.learn(address, a.executor)
		t.operation, t.exposed = a.executor+"/"+base(a.ID), false
		if a.Status == http.StatusConflict {
			return 0
		}
	case a.Outcome == Unknown || a.Status == http.StatusServiceUnavailable:
		t.advance()
	}
	return max(a.RetryAfter, backoff)
}
