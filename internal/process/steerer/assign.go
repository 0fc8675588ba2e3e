package steerer

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// slack is the ratio of the most services on one member to the average.
	slack = 1.25
	// spareRoom is the room of a member beyond its share. Without it, a fleet with
	// hardly more services than members moves many when one member changes.
	spareRoom = 1
	// fullWeight is the weight of a member that is not overloaded.
	fullWeight = 4
)

// weights holds the weight of a member from a load upwards, the highest first.
var weights = []struct {
	load   float64
	weight int
}{
	{1.0, fullWeight / 4},
	{0.8, fullWeight / 2},
	{0, fullWeight},
}

// weigh returns the weight of a member with a load, 1 when full.
func weigh(load float64) int {
	for _, w := range weights {
		if load >= w.load {
			return w.weight
		}
	}
	return fullWeight
}

// bin takes items in proportion to its weight.
type bin struct {
	hash   uint64
	weight int
}

func hashText(text string) uint64 { return xxhash.Sum64String(text) }

func hashAddress(a netip.AddrPort) uint64 {
	ip := a.Addr().As16()
	return mix(xxhash.Sum64(ip[:]) ^ uint64(a.Port()))
}

// score is the weighted rendezvous score of a bin for an item: the bin with the
// highest one takes the item, and a change of one bin moves only its own items.
func score(b bin, item uint64) float64 {
	u := (float64(mix(item^mix(b.hash))>>11) + 0.5) / (1 << 53)
	return -float64(b.weight) / math.Log(u)
}

// mix spreads the bits of a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func compareScores(a, b bin, item uint64) int {
	return cmp.Compare(score(a, item), score(b, item))
}

// assign gives each item a bin by rendezvous hashing with bounded load: a bin
// takes at most spare times its share and extra items more. The result does not depend on the order
// of the items or bins.
func assign(items []uint64, bins []bin, spare float64, extra int) []int {
	found := make([]int, len(items))
	if len(bins) == 0 {
		return found
	}
	room := rooms(len(items), bins, spare, extra)
	turns := make([]int, len(items))
	for i := range turns {
		turns[i] = i
	}
	slices.SortFunc(turns, func(a, b int) int { return cmp.Compare(items[a], items[b]) })
	for _, i := range turns {
		best, top := -1, 0.0
		for j, b := range bins {
			if s := score(b, items[i]); room[j] > 0 && (best < 0 || s > top) {
				best, top = j, s
			}
		}
		found[i] = best
		room[best]--
	}
	return found
}

// rooms returns how many items each bin may take; the sum is enough for all.
func rooms(items int, bins []bin, spare float64, extra int) []int {
	total := 0
	for _, b := range bins {
		total += b.weight
	}
	room := make([]int, len(bins))
	for j, b := range bins {
		room[j] = int(math.Ceil(spare*float64(items*b.weight)/float64(total))) + extra
	}
	return room
}

// Owners splits the targets of a service evenly over its active homes, so that
// each target has one owner; other homes only borrow it.
func Owners(homes, targets []netip.AddrPort) map[netip.AddrPort]netip.AddrPort {
	owners := make(map[netip.AddrPort]netip.AddrPort, len(targets))
	if len(homes) == 0 {
		return owners
	}
	bins := make([]bin, len(homes))
	for i, h := range homes {
		bins[i] = bin{hash: hashAddress(h), weight: fullWeight}
	}
	items := make([]uint64, len(targets))
	for i, t := range targets {
		items[i] = hashAddress(t)
	}
	for i, j := range assign(items, bins, 1, 0) {
		owners[targets[i]] = homes[j]
	}
	return owners
}
