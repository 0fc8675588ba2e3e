package detector

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkFleet runs fleets of up to 400 instances, the size that the fleet is
// designed for, in virtual time and in five places. One operation is one virtual
// second of the whole fleet. It reports:
//   - B/member: the heap bytes of a detector per member
//   - packets/s: the packets per instance and virtual second
//   - ns/s: the processor time in ns per instance and virtual second; it includes
//     the simulated network
//   - s-suspect, s-failed: the virtual seconds until a killed instance is suspect and
//     until it is failed on all instances
//   - s-heal: the virtual seconds until the views agree after one place was cut off
//     for ten minutes
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{16, 48, 96, 200, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			memory := heapBytes()
			f := newFleet(1, "p0", "p1", "p2", "p3", "p4")
			f.step = 50 * time.Millisecond
			for i := range n {
				f.start(i)
			}
			f.advance(2 * time.Minute)
			if problem := f.disagreement(); problem != "" {
				b.Fatal(problem)
			}
			memory = (heapBytes() - memory) / float64(n*n)
			before := f.sent
			for b.Loop() {
				f.advance(time.Second)
			}
			b.ReportMetric(memory, "B/member")
			b.ReportMetric(float64(f.sent-before)/float64(n*b.N), "packets/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n*b.N), "ns/s")
			f.at(n - 1).running = false
			suspected := f.untilAllHold(Suspect, n-1)
			b.ReportMetric(suspected, "s-suspect")
			b.ReportMetric(suspected+f.untilAllHold(Failed, n-1), "s-failed")
			f.start(n - 1)
			f.advance(time.Minute)
			f.isCut = func(x, y int) bool { return (x%5 == 0) != (y%5 == 0) }
			f.advance(10 * time.Minute)
			f.isCut = func(int, int) bool { return false }
			b.ReportMetric(f.untilConverged(), "s-heal")
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// untilAllHold returns the virtual seconds until every other instance holds the killed
// instance in state s or a later one, at most 10 minutes. An instance that does not
// hold it at all counts as well.
func (f *fleet) untilAllHold(s State, killed int) float64 {
	return f.secondsUntil(func() bool {
		for i := range len(f.latest) {
			r := f.at(i).records[addressOf(killed)]
			if i != killed && r != nil && r.member.State < s {
				return false
			}
		}
		return true
	})
}

// untilConverged returns the virtual seconds until all views agree, at most 10 minutes.
func (f *fleet) untilConverged() float64 {
	return f.secondsUntil(func() bool { return f.disagreement() == "" })
}

// secondsUntil returns the virtual seconds until a condition holds, at most 10 minutes.
func (f *fleet) secondsUntil(holds func() bool) float64 {
	start := f.now
	for !holds() && f.now.Sub(start) < 10*time.Minute {
		f.advance(100 * time.Millisecond)
	}
	return f.now.Sub(start).Seconds()
}
