package director

import (
	"slices"

	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// uneven returns the weights with the median in place of unknown ones, or nil if all are
// equal.
func uneven(weights []float64) []float64 {
	known := slices.DeleteFunc(slices.Clone(weights), func(w float64) bool { return w <= 0 })
	if len(known) == 0 {
		return nil
	}
	slices.Sort(known)
	if known[0] == known[len(known)-1] {
		return nil
	}
	median, all := known[len(known)/2], slices.Clone(weights)
	for i, w := range all {
		if w <= 0 {
			all[i] = median
		}
	}
	return all
}

// Relative returns the weight of one of the members relative to the mean of all: 1 if they are
// even. What the fleet may use of something adds up if each uses that many equal shares.
func Relative(weights []float64, member int) float64 {
	all := uneven(weights)
	if all == nil {
		return 1
	}
	return all[member] * float64(len(all)) / sum(all)
}

// steps is the resolution of random fractions.
const steps = 1 << 30

// fraction returns a random number in [0, 1).
func fraction(random func(n int) int) float64 { return float64(random(steps)) / steps }

// sample returns a random sample of members of which each is a part as often as its weight
// says. The size of the sample is the largest at which the greatest weight is a part of
// each sample, within the bounds.
func sample(members []detector.Member, weights []float64, random func(n int) int) []detector.Member {
	total := sum(weights)
	size := max(int(total/slices.Max(weights)), minAddresses)
	size = min(size, maxAddresses, len(members))
	chances := chances(weights, size)
	// Systematic sampling: an interval of the length of its chance for each member, in
	// random order, and a point at each whole number, all moved by the same fraction.
	var chosen []detector.Member
	for next, point, end, i := permutation(len(members), random), fraction(random), 0.0, 0; i < len(next); i++ {
		if end += chances[next[i]]; end > point {
			chosen = append(chosen, members[next[i]])
			point++
		}
	}
	return chosen
}

// chances returns the probability of each weight to be in a sample of a size: in proportion
// to the weight, and 1 at most.
func chances(weights []float64, size int) []float64 {
	all := make([]float64, len(weights))
	for range weights {
		left, total := float64(size), 0.0
		for i, w := range weights {
			if all[i] == 1 {
				left--
			} else {
				total += w
			}
		}
		done := true
		for i, w := range weights {
			if all[i] == 1 {
				continue
			}
			if all[i] = left * w / total; all[i] >= 1 {
				all[i], done = 1, false
			}
		}
		if done {
			break
		}
	}
	return all
}

// shuffleByWeight puts the members in random order. At each place, the chance of those
// that are left is in proportion to their weights.
func shuffleByWeight(members []detector.Member, weights []float64, random func(n int) int) {
	total := sum(weights)
	for i := range members {
		point, j := fraction(random)*total, i
		for ; j < len(members)-1 && point >= weights[j]; j++ {
			point -= weights[j]
		}
		total -= weights[j]
		members[i], members[j] = members[j], members[i]
		weights[i], weights[j] = weights[j], weights[i]
	}
}

func permutation(n int, random func(n int) int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	for i := range all {
		j := i + random(n-i)
		all[i], all[j] = all[j], all[i]
	}
	return all
}

func sum(weights []float64) float64 {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	return total
}
