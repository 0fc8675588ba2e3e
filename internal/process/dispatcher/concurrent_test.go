package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/queuer"
	"oriolecourse.example/oriolecourse/internal/request/retrier"
)

func storeMax(greatest *atomic.Int64, n int64) {
	for old := greatest.Load(); n > old; old = greatest.Load() {
		if greatest.CompareAndSwap(old, n) {
			return
		}
	}
}

// maxOutstanding acquires leases from several goroutines, calls hold while each counts as
// outstanding, and returns the greatest number that one target had outstanding.
func maxOutstanding(t *testing.T, acquire func(d *Dispatcher, request Request) *Lease, hold func()) int64 {
	m := newMachine()
	m.policy.Queue, m.policy.MaxWait, m.policy.Deadline = 64, time.Minute, time.Minute
	m.now = time.Now()
	m.d.Random = New("", "").Random
	m.configure(2)
	var outstanding [2]atomic.Int64
	var greatest atomic.Int64
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 200 {
				l := acquire(m.d, m.request(0))
				i := l.Target.Addr().As4()[3]
				n := outstanding[i].Add(1)
				storeMax(&greatest, n)
				hold()
				outstanding[i].Add(-1)
				l.Release(Result{Ending: retrier.Done}, time.Now())
			}
		})
	}
	group.Wait()
	for _, target := range m.d.Snapshot(time.Now()).Targets {
		if target.Outstanding != 0 {
			t.Errorf("%d outstanding at %v after all requests ended", target.Outstanding, target.Address)
		}
	}
	return greatest.Load()
}

// Concurrent requests must not exceed a target's limit. They would if the check
// of the limit and the increment were not one atomic step; a variant with such a
// check must fail.
func TestConcurrentLimit(t *testing.T) {
	greatest := maxOutstanding(t, func(d *Dispatcher, request Request) *Lease {
		l, rejection := d.Acquire(context.Background(), request)
		if rejection != nil {
			panic(rejection.Cause)
		}
		return l
	}, func() { time.Sleep(time.Microsecond) })
	// The policy of newMachine allows 3: two slots and one spare request.
	if greatest > 3 {
		t.Errorf("%d outstanding at one target, want at most 3", greatest)
	}
	// The first four requests check the limit before any of them takes capacity, and none of
	// them ends before all have begun, so that they exceed the limit of 3.
	var gate, begun sync.WaitGroup
	gate.Add(4)
	begun.Add(4)
	var arrived, held atomic.Int64
	variantGreatest := maxOutstanding(t, func(d *Dispatcher, _ Request) *Lease {
		c := &d.configuration.Load().set.Candidates[0]
		belowLimit := c.Target.Outstanding() < c.Limit
		if arrived.Add(1) <= 4 {
			gate.Done()
			gate.Wait()
		}
		for !belowLimit {
			time.Sleep(time.Microsecond)
			belowLimit = c.Target.Outstanding() < c.Limit
		}
		inFlight, _ := c.Target.Begin(1<<20, 2, 0, time.Now())
		return &Lease{Target: c.Target.Address, dispatcher: d, target: c.Target, inFlight: inFlight, estimate: d.latencyEstimate("find")}
	}, func() {
		if held.Add(1) <= 4 {
			begun.Done()
			begun.Wait()
		}
	})
	if variantGreatest <= 3 {
		t.Errorf("the test accepts a limit that is not atomic: %d outstanding at one target, want more than 3", variantGreatest)
	}
}

// Acquire must return when a request has waited too long and when its caller
// withdraws it, and must leave no ticket in the queue.
func TestAcquireEnds(t *testing.T) {
	m := newMachine()
	m.policy.MaxWait = 5 * time.Millisecond
	m.now = time.Now()
	m.configure(1)
	for range 3 {
		m.arrive(0)
	}
	if _, r := m.d.Acquire(context.Background(), m.request(0)); r == nil || r.Cause != queuer.WaitExpired {
		t.Errorf("a request that waited too long got %+v, want a rejection for waiting too long", r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, r := m.d.Acquire(ctx, m.request(0)); r == nil || r.Cause != queuer.Withdrawn {
		t.Errorf("a withdrawn request got %+v, want a rejection for withdrawal", r)
	}
	if s := m.d.Snapshot(time.Now()); s.Waiting != 0 {
		t.Errorf("%d requests wait, want 0", s.Waiting)
	}
}
