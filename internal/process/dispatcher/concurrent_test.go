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

func raise(most *atomic.Int64, n int64) {
	for old := most.Load(); n > old; old = most.Load() {
		if most.CompareAndSwap(old, n) {
			return
		}
	}
}

// mostTogether lets callers acquire together and returns the most that one
// target had outstanding.
func mostTogether(t *testing.T, acquire func(d *Dispatcher, want Request) *Lease) int64 {
	m := newMachine()
	m.policy.Queue, m.policy.Wait, m.policy.Deadline = 64, time.Minute, time.Minute
	m.now = time.Now()
	m.d.Random = New("", "").Random
	m.configure(2)
	var now [2]atomic.Int64
	var most atomic.Int64
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 200 {
				l := acquire(m.d, m.want(0))
				i := l.Target.Addr().As4()[3]
				n := now[i].Add(1)
				raise(&most, n)
				time.Sleep(time.Microsecond)
				now[i].Add(-1)
				l.Release(Result{Ending: retrier.Done}, time.Now())
			}
		})
	}
	group.Wait()
	for _, target := range m.d.Snapshot(time.Now()).Targets {
		if target.Outstanding != 0 {
			t.Errorf("%d outstanding at %v when all is over", target.Outstanding, target.Address)
		}
	}
	return most.Load()
}

// TestConcurrentLimit fails for a check of the limit that is not atomic.
func TestConcurrentLimit(t *testing.T) {
	most := mostTogether(t, func(d *Dispatcher, want Request) *Lease {
		l, refusal := d.Acquire(context.Background(), want)
		if refusal != nil {
			panic(refusal.Cause)
		}
		return l
	})
	if most > 3 {
		t.Errorf("%d outstanding at one target", most)
	}
	var gate sync.WaitGroup
	gate.Add(4)
	var arrived atomic.Int64
	broken := mostTogether(t, func(d *Dispatcher, _ Request) *Lease {
		c := &d.view.Load().set.Candidates[0]
		seen := c.Target.Outstanding() < c.Limit
		if arrived.Add(1) <= 4 {
			gate.Done()
			gate.Wait()
		}
		for !seen {
			time.Sleep(time.Microsecond)
			seen = c.Target.Outstanding() < c.Limit
		}
		mark, _ := c.Target.Begin(1<<20, 2, 0, time.Now())
		return &Lease{Target: c.Target.Address, dispatcher: d, target: c.Target, mark: mark, normal: d.normal("find")}
	})
	if broken <= 3 {
		t.Errorf("the check accepts a limit that is not atomic: %d", broken)
	}
}

// TestAcquireEnds checks that a waiting caller is told the end of its wait.
func TestAcquireEnds(t *testing.T) {
	m := newMachine()
	m.policy.Wait = 5 * time.Millisecond
	m.now = time.Now()
	m.configure(1)
	for range 3 {
		m.arrive(0)
	}
	if _, r := m.d.Acquire(context.Background(), m.want(0)); r == nil || r.Cause != queuer.WaitExpired {
		t.Errorf("a request that waited too long got %+v", r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, r := m.d.Acquire(ctx, m.want(0)); r == nil || r.Cause != queuer.Withdrawn {
		t.Errorf("a withdrawn request got %+v", r)
	}
	if s := m.d.Snapshot(time.Now()); s.Waiting != 0 {
		t.Errorf("%d requests wait", s.Waiting)
	}
}
