package registrar

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// manyRuns returns a list with a number of runs.
func manyRuns(count int) *List {
	l := &List{Revision: 1, Emptied: []string{}}
	for k := range count {
		l.Runs = append(l.Runs, Run{
			Name: fmt.Sprintf("i-%010x", k), StartMs: 1788435596494 + int64(k), Service: "field-orders",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 64, byte(k)}), 8264), Zone: "bagmati-b", Slots: 4,
		})
	}
	return l
}

// BenchmarkList measures what each instance does with a list in which one run has changed.
func BenchmarkList(b *testing.B) {
	for _, runs := range []int{266, 720} {
		b.Run(fmt.Sprintf("runs=%d", runs), func(b *testing.B) {
			l, r, now := manyRuns(runs), New(nil), time.Unix(1000, 0)
			texts := [2][]byte{}
			for k := range texts {
				l.Runs[7].StartMs++
				text, err := l.Encode()
				if err != nil {
					b.Fatal(err)
				}
				texts[k] = text
			}
			b.ReportAllocs()
			for k := 0; b.Loop(); k++ {
				decoded, err := Decode(texts[k%2])
				if err != nil {
					b.Fatal(err)
				}
				r.Apply(decoded, now)
				r.Usable()
			}
		})
	}
}
