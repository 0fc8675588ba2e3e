package steerer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// viewOf returns a view with the given number of members in three zones.
func viewOf(members int) View {
	all := make([]detector.Member, members)
	for i := range all {
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7001)
		all[i] = detector.Member{
			Instance:    lister.Instance{Peer: peer, Place: "himal", Zone: string(rune('a' + i%3))},
			Incarnation: uint64(i + 1),
		}
	}
	return View{Self: all[0], Members: all[1:]}
}

// TestRankAlternatesZones compares rank with a direct search by its rule: the next
// member is the one with the highest score in a zone with the fewest ranked members.
func TestRankAlternatesZones(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		v := viewOf(1 + random.IntN(40))
		var members []candidate
		for _, m := range append(v.Members, v.Self) {
			m.Instance.Zone = string(rune('a' + random.IntN(1+random.IntN(6))))
			members = append(members, newCandidate(m, nil))
		}
		item, first := random.Uint64(), random.IntN(len(members))
		used := map[string]int{}
		rest := slices.Clone(members)
		for i, got := range rank(item, members, first) {
			want := members[first]
			for n, c := range rest {
				difference := used[c.member.Instance.Zone] - used[want.member.Instance.Zone]
				if i > 0 && (n == 0 || difference < 0 || difference == 0 && score(bin{c.hash, c.weight}, item) > score(bin{want.hash, want.weight}, item)) {
					want = c
				}
			}
			require.Equal(t, want, got, "position %d of %d", i, len(members))
			used[want.member.Instance.Zone]++
			rest = slices.DeleteFunc(rest, func(c candidate) bool { return c == want })
		}
	}
}

// BenchmarkBuild measures the time to build a plan for a place with different numbers
// of members and services, and the heap bytes that the plan holds.
func BenchmarkBuild(b *testing.B) {
	for _, c := range [][2]int{{16, 210}, {96, 210}, {250, 210}, {400, 210}, {96, 1050}} {
		b.Run(fmt.Sprintf("members=%d/services=%d", c[0], c[1]), func(b *testing.B) {
			v := viewOf(c[0])
			services := make([]Service, c[1])
			for i := range services {
				services[i] = Service{Place: "himal", Name: fmt.Sprintf("service%d", i), MemberCount: 2, ActiveHomes: 1}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			plan := Build(v, services)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				Build(v, services)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "held-bytes")
			runtime.KeepAlive(plan)
		})
	}
}
