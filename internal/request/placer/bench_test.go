package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkRequest measures all decisions on one request beside others that wait: its arrival,
// the reports of the probed targets, and its end.
func BenchmarkRequest(b *testing.B) {
	for _, targets := range []int{266, 720} {
		for _, waiting := range []int{0, 10} {
			b.Run(fmt.Sprintf("targets=%d/waiting=%d", targets, waiting), func(b *testing.B) {
				benchmarkRequest(b, targets, waiting)
			})
		}
	}
}

func benchmarkRequest(b *testing.B, targets, waiting int) {
	random := rand.New(rand.NewPCG(1, 2))
	p := New("a", random.Float64, func(n int, _ time.Time) int { return n })
	all := []Target{}
	for k := range targets {
		all = append(all, Target{ID: fmt.Sprint("target-", k), Zone: string(rune('a' + k%3)), Slots: 4})
	}
	p.SetTargets(all)
	now := time.Unix(1000, 0)
	ticket := func() *Ticket {
		return &Ticket{
			Kind: "look", Arrived: now, ObjectiveTime: now.Add(300 * time.Millisecond), Deadline: now.Add(time.Hour),
			LatencyObjective: 300 * time.Millisecond, Patience: time.Hour,
		}
	}
	for range waiting {
		late := ticket()
		late.ObjectiveTime = now.Add(-time.Second)
		p.Submit(late)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(30 * time.Millisecond)
		t := ticket()
		p.Submit(t)
		for _, probed := range p.Step(now).Probes {
			now = now.Add(time.Millisecond)
			p.Report(probed.ID, Load{Running: 1, Slots: 4, Slowdown: 3}, now, now)
			for _, g := range p.Step(now).Grants {
				p.End(g.Target.ID, g.Ticket, Served, now.Add(time.Millisecond))
			}
		}
		p.Withdraw(t)
	}
}
