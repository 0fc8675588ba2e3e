package sizer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

const zones = 3

func zone(k int) string { return string(rune('a' + k%zones)) }

// members returns the instances below n for which known returns true.
func members(n int, known func(k int) bool) []detector.Member {
	var all []detector.Member
	for k := range n {
		if known(k) {
			peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(k % zones), byte(k >> 8), byte(k)}), 7000)
			all = append(all, detector.Member{Instance: lister.Instance{Peer: peer, Zone: zone(k)}})
		}
	}
	return all
}

// views are what an instance k of a fleet knows of another one o.
var views = map[string]func(k, o int) bool{
	"nobody":          func(int, int) bool { return false },
	"the seeds":       func(_, o int) bool { return o < 3 },
	"a part":          func(k, o int) bool { return (k+o)%5 == 0 },
	"its own zone":    func(k, o int) bool { return zone(k) == zone(o) },
	"all but a zone":  func(k, o int) bool { return (zone(k) == "a") == (zone(o) == "a") },
	"the whole fleet": func(int, int) bool { return true },
}

// Guards against instances that take the part of the fleet that they have met for all of it:
// when all start together, each would use up to the whole of what they share. The same holds
// for a part that has started while it was cut off from the rest.
func TestPartsOfAFleetThatHasJustStartedAddUpToNoMoreThanTheWhole(t *testing.T) {
	for _, f := range []struct{ instances, targets int }{{16, 30}, {106, 189}, {472, 720}} {
		for name, knows := range views {
			t.Run(fmt.Sprintf("%d instances know %s", f.instances, name), func(t *testing.T) {
				started := time.Unix(1000, 0)
				sum, settled := 0.0, 0.0
				for k := range f.instances {
					s := New(Options{Zone: zone(k), Zones: zones})
					s.Update(members(f.instances, func(o int) bool { return o != k && knows(k, o) }), started)
					size := s.Size(f.targets, started.Add(time.Second))
					sum += 1 / float64(size.Instances)
					if size.Settled {
						settled += 1 / float64(size.Instances)
					}
				}
				require.LessOrEqual(t, sum, 1.0+1e-9)
				require.LessOrEqual(t, settled, 1.0+1e-9)
			})
		}
	}
}

// Guards against a part of the fleet that has long started while it was cut off from the rest
// and takes itself for the whole.
func TestZonesThatNeverMetDivideTheFleet(t *testing.T) {
	started := time.Unix(1000, 0)
	for name, part := range map[string]func(k, o int) bool{"its own zone": views["its own zone"], "all but a zone": views["all but a zone"]} {
		sum := 0.0
		for k := range 106 {
			s := New(Options{Zone: zone(k), Zones: zones})
			s.Update(members(106, func(o int) bool { return o != k && part(k, o) }), started)
			sum += 1 / float64(s.Size(189, started.Add(time.Hour)).Instances)
		}
		require.InDelta(t, 1, sum, 0.05, name)
	}
}

// Guards against an estimate that outlasts the start, and against an instance without others
// that waits for them.
func TestInstanceCountsTheFleetThatItHasMet(t *testing.T) {
	started := time.Unix(1000, 0)
	s := New(Options{Zone: "a", Zones: zones})
	s.Update(members(106, func(o int) bool { return o != 0 }), started)
	require.Equal(t, Size{Instances: 106, Known: 106, Settled: true}, s.Size(189, started.Add(time.Minute)))
	s.Update(members(107, func(o int) bool { return o != 0 }), started.Add(time.Minute))
	require.Equal(t, Size{Instances: 107, Known: 107, Settled: true}, s.Size(189, started.Add(time.Minute)))

	alone := New(Options{Zone: "a", Zones: zones, Alone: true})
	require.Equal(t, Size{Instances: 1, Known: 1, Settled: true}, alone.Size(189, started))
}
