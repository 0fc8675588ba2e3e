package detector

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkFleet runs fleets of up to the target's size in virtual time, in five
// places. One operation is one second of the whole fleet. It reports, for each
// instance and second, the packets and the processor time, the test's own
// network included; the memory of one detector for each member; the time until a
// killed instance is suspected and failed everywhere; and the time until a fleet
// is whole after one place was cut off for ten minutes.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{16, 48, 96, 200, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			memory := heap()
			f := newFleet(1, "p0", "p1", "p2", "p3", "p4")
			f.step = 50 * time.Millisecond
			for i := range n {
				f.start(i)
			}
			f.advance(2 * time.Minute)
			if fault := f.whole(); fault != "" {
				b.Fatal(fault)
			}
			memory = (heap() - memory) / float64(n*n)
			before := f.sent
			for b.Loop() {
				f.advance(time.Second)
			}
			b.ReportMetric(memory, "B/member")
			b.ReportMetric(float64(f.sent-before)/float64(n*b.N), "packets/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n*b.N), "ns/s")
			f.at(n - 1).running = false
			suspected := f.untilAll(Suspect, n-1)
			b.ReportMetric(suspected, "s-suspect")
			b.ReportMetric(suspected+f.untilAll(Failed, n-1), "s-failed")
			f.start(n - 1)
			f.advance(time.Minute)
			f.cut = func(x, y int) bool { return (x%5 == 0) != (y%5 == 0) }
			f.advance(10 * time.Minute)
			f.cut = func(int, int) bool { return false }
			b.ReportMetric(f.untilWhole(), "s-heal")
		})
	}
}

func heap() float64 {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// untilAll returns the seconds until all others hold an instance in a state or a
// worse one.
func (f *fleet) untilAll(s State, victim int) float64 {
	return f.wait(func() bool {
		for i := range len(f.runs) {
			r := f.at(i).records[addressOf(victim)]
			if i != victim && r != nil && r.member.State < s {
				return false
			}
		}
		return true
	})
}

func (f *fleet) untilWhole() float64 {
	return f.wait(func() bool { return f.whole() == "" })
}

func (f *fleet) wait(is func() bool) float64 {
	start := f.now
	for !is() && f.now.Sub(start) < 10*time.Minute {
		f.advance(100 * time.Millisecond)
	}
	return f.now.Sub(start).Seconds()
}
