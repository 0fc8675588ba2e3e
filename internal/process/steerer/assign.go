package steerer

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLoadRatio bounds the services of one member, as a ratio to its share by weight.
	// A lower ratio spreads the services more evenly but assigns more of them to a
	// member that does not have their highest score.
	maxLoadRatio = 1.25
	// extraItems is the number of services that a member may take beyond that bound.
	// Without it, a fleet with hardly more services than members moves many services
	// when one member changes.
	extraItems = 1
	// fullWeight is the weight of a member whose load is below 0.8, see weightsByLoad.
	// It is a multiple of 4, so that a half and a quarter of it are integers.
	fullWeight = 4
)

// weightsByLoad holds the weight of a member whose load is at least the given one,
// the highest load first. A member gives up services when its load reaches 0.8, and
// more of them when it is full.
var weightsByLoad = []struct {
	load   float64
	weight int
}{
	{1.0, fullWeight / 4},
	{0.8, fullWeight / 2},
	{0, fullWeight},
}

// weightOf returns the weight of a member with the given load, 1 when full.
func weightOf(load float64) int {
	for _, w := range weightsByLoad {
		if load >= w.load {
			return w.weight
		}
	}
	return fullWeight
}

// bin is a bucket of rendezvous hashing that takes items in proportion to its weight.
type bin struct {
	hash   uint64
	weight int
}

func hashText(text string) uint64 { return xxhash.Sum64String(text) }

func hashAddress(a netip.AddrPort) uint64 {
	ip := a.Addr().As16()
	return mix(xxhash.Sum64(ip[:]) ^ uint64(a.Port()))
}

// score returns the weighted rendezvous score of a bin for an item. The bin with the
// highest score takes the item, so that a change of one bin moves only the items that
// it loses or gains.
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

// assign returns the index of a bin for each item, by rendezvous hashing with bounded
// load: a bin takes at most ratio times its share by weight, plus extra items. The
// bin of an item does not depend on the order of the items or bins. Without bins all
// results are 0 and mean nothing.
func assign(items []uint64, bins []bin, ratio float64, extra int) []int {
	assigned := make([]int, len(items))
	if len(bins) == 0 {
		return assigned
	}
	capacity := capacities(len(items), bins, ratio, extra)
	byHash := make([]int, len(items))
	for i := range byHash {
		byHash[i] = i
	}
	slices.SortFunc(byHash, func(a, b int) int { return cmp.Compare(items[a], items[b]) })
	for _, i := range byHash {
		best, highest := -1, 0.0
		for j, b := range bins {
			if s := score(b, items[i]); capacity[j] > 0 && (best < 0 || s > highest) {
				best, highest = j, s
			}
		}
		assigned[i] = best
		capacity[best]--
	}
	return assigned
}

// capacities returns the number of items that each bin may take. The sum is at least
// the number of items.
func capacities(items int, bins []bin, ratio float64, extra int) []int {
	total := 0
	for _, b := range bins {
		total += b.weight
	}
	capacity := make([]int, len(bins))
	for j, b := range bins {
		capacity[j] = int(math.Ceil(ratio*float64(items*b.weight)/float64(total))) + extra
	}
	return capacity
}

// Owners splits the targets of a service evenly over its active homes and returns the
// owner of each target: the home that counts its requests. Any other home may use only
// the slots that the target reports to be free.
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
