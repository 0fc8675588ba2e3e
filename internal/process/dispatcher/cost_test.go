package dispatcher

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/retrier"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// BenchmarkDecision measures one grant and its release.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{12, 100, 1100} {
		d := New("himal", "lookup")
		p := &resolver.Policy{Kind: "find", Deadline: time.Second, Queue: 64, Slots: 64, Failures: 5, EjectionTime: time.Second}
		list := make([]Target, targets)
		now := time.Now()
		for i := range list {
			list[i] = Target{Address: netip.AddrPortFrom(address(0).Addr(), uint16(i)), Start: "1", Owned: true, Since: now}
		}
		d.Configure(p, list, now)
		decide := func() {
			l := d.Submit(Request{Policy: p}, now).Lease
			l.Release(Result{Ending: retrier.Done, Latency: time.Millisecond}, now)
		}
		b.Run(fmt.Sprintf("serial/%d", targets), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				decide()
			}
		})
		b.Run(fmt.Sprintf("parallel/%d", targets), func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					decide()
				}
			})
		})
	}
}

// BenchmarkQueueAndCancel measures queueing and canceling one request that takes
// the last free place in the queue.
func BenchmarkQueueAndCancel(b *testing.B) {
	for _, waiting := range []int{8, 512} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			m := newMachine()
			m.policy.Queue = waiting + 1
			m.configure(12)
			for m.queuedTickets < waiting {
				m.arrive(0)
			}
			b.ReportAllocs()
			for b.Loop() {
				m.d.Cancel(m.d.Submit(m.request(0), m.now).Ticket, m.now)
			}
		})
	}
}
