package director

import (
	"math/rand"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// unevenFleet returns members of three zones, of which one in seventeen can carry five
// times as much as the others, as in a deployment with two strong instances in each zone of
// 34. A third of the weak ones runs an earlier build and tells nothing.
func unevenFleet(n int) ([]detector.Member, map[netip.AddrPort]float64) {
	var members []detector.Member
	weights := map[netip.AddrPort]float64{}
	for k := range n {
		m := member(0, []string{"a", "b", "c"}[k%3], detector.Alive, false)
		m.Instance.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(k >> 8), byte(k)}), 80)
		switch {
		case k/3%17 == 0:
			weights[m.Instance.Address] = 5
		case k%5 != 0:
			weights[m.Instance.Address] = 1
		}
		members = append(members, m)
	}
	return members, weights
}

func weigher(weights map[netip.AddrPort]float64) Weights {
	return func(members []detector.Member) []float64 {
		var all []float64
		for _, m := range members {
			all = append(all, weights[m.Instance.Address])
		}
		return all
	}
}

// callers returns the share of the callers of zone a that each instance gets: each caller
// takes one address of a response at random.
func callers(members []detector.Member, weigh Weights, random *rand.Rand) (shares map[netip.AddrPort]float64, fewest int) {
	const responses = 4000
	shares, fewest = map[netip.AddrPort]float64{}, maxAddresses
	for range responses {
		named := Choose("a", detector.Member{}, false, members, weigh, random.Intn)
		fewest = min(fewest, len(named))
		for _, a := range named {
			shares[a] += 1 / float64(len(named)) / responses
		}
	}
	return shares, fewest
}

// Guards against weak instances that get as many callers as strong ones, in a small, a
// middle and a large fleet, and against responses with so few addresses that a caller has
// none left when instances are lost.
func TestCallersFollowCapacity(t *testing.T) {
	for _, n := range []int{16, 98, 472} {
		members, weights := unevenFleet(n)
		local := len(Candidates("a", members))
		shares, fewest := callers(members, weigher(weights), rand.New(rand.NewSource(1)))
		require.GreaterOrEqual(t, fewest, min(minAddresses, local), "%d instances", n)
		total := 0.0
		for _, m := range members {
			if m.Instance.Zone == "a" {
				total += max(weights[m.Instance.Address], 1)
			}
		}
		for _, m := range members {
			if m.Instance.Zone != "a" {
				require.Zero(t, shares[m.Instance.Address])
				continue
			}
			weight := max(weights[m.Instance.Address], 1)
			if local <= minAddresses {
				// All are named, so that callers are safe from losses.
				require.InEpsilon(t, 1/float64(local), shares[m.Instance.Address], 0.01)
				continue
			}
			require.InEpsilon(t, weight/total, shares[m.Instance.Address], 0.25, "%d instances, weight %v", n, weight)
		}
	}
}

// Guards against callers that find no instance, or overrun the strong ones, after half of
// the instances were lost: the next responses name those that are left, by their weights.
func TestCallersFollowCapacityAfterTheLossOfHalf(t *testing.T) {
	for _, n := range []int{16, 98, 472} {
		members, weights := unevenFleet(n)
		random := rand.New(rand.NewSource(2))
		for i := range members {
			if random.Intn(2) == 0 {
				members[i].State = detector.Failed
			}
		}
		local := Candidates("a", members)
		shares, _ := callers(members, weigher(weights), random)
		require.Len(t, shares, len(local), "each one that is left is named")
		for _, m := range local {
			require.Less(t, shares[m.Instance.Address], max(1/float64(len(local)), 1/float64(minAddresses-1))*1.3)
		}
	}
}

// Guards against another order of instances than before where all are alike: the same
// random numbers give the same response.
func TestEqualWeightsChangeNothing(t *testing.T) {
	members, _ := unevenFleet(300)
	equal := func(members []detector.Member) []float64 {
		all := make([]float64, len(members))
		for i := range all {
			all[i] = 3
		}
		return all
	}
	for seed := range int64(20) {
		plain := Choose("a", members[0], true, members, same, rand.New(rand.NewSource(seed)).Intn)
		require.Len(t, plain, maxAddresses)
		require.Equal(t, plain, Choose("a", members[0], true, members, equal, rand.New(rand.NewSource(seed)).Intn))
		require.Equal(t, Serving("a", members, same, rand.New(rand.NewSource(seed)).Intn), Serving("a", members, equal, rand.New(rand.NewSource(seed)).Intn))
	}
}

// Guards against relayed requests of cut instances that go to weak instances as often as
// to strong ones.
func TestRelayedRequestsFollowCapacity(t *testing.T) {
	members, weights := unevenFleet(98)
	random, first := rand.New(rand.NewSource(3)), map[float64]int{}
	const requests = 10_000
	local := Candidates("a", members)
	for range requests {
		serving := Serving("a", members, weigher(weights), random.Intn)
		require.Len(t, serving, len(local))
		first[max(weights[serving[0].Instance.Address], 1)]++
	}
	strong := 0.0
	for _, m := range local {
		if weights[m.Instance.Address] == 5 {
			strong++
		}
	}
	expected := 5 * strong / (5*strong + float64(len(local)) - strong)
	require.InEpsilon(t, expected, float64(first[5])/requests, 0.1)
}

// Guards against shares of the probes that do not follow the callers, and against ones that
// add up to more than the fleet may use.
func TestRelativeWeightsAddUp(t *testing.T) {
	members, byAddress := unevenFleet(98)
	weights := make([]float64, len(members))
	for k, m := range members {
		weights[k] = byAddress[m.Instance.Address]
	}
	total := 0.0
	for k, m := range members {
		r := Relative(weights, k)
		total += r
		if byAddress[m.Instance.Address] == 5 {
			require.Greater(t, r, 3.5)
		} else {
			require.Less(t, r, 1.0, "also one that tells nothing")
		}
	}
	require.InDelta(t, len(members), total, 1e-9)
	require.Equal(t, 1.0, Relative(make([]float64, 98), 7), "nobody tells anything")
	require.Equal(t, 1.0, Relative([]float64{2, 2, 0}, 2), "all that tell are alike")
}
