package router

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
)

// split distributes the requests of a route to its services by their weights.
//
// Each service but the last takes its share of the requests that the ones before it leave, at
// even distances: its phase advances by the share with each of them, and it takes the request with
// which the phase completes a turn. So the number of requests of each service stays close to
// its exact share at any time; a random choice would deviate from the weights. A request costs
// the same for all weights, and no other request waits for it.
type split struct {
	// services holds those with a share, at least one.
	services []string
	// shares holds the share of each service but the last, in fractions of 2^64.
	shares []uint64
	// phases holds the phase of each of these, likewise. They start at random, so that the
	// instances do not all start with the same service.
	phases []atomic.Uint64
	start  sync.Once
}

// newSplit returns a split by weights that are finite and not negative. When all weights are 0,
// the first service gets all requests.
func newSplit(services []WeightedService) *split {
	// The weights are divided by the greatest one: their sum may exceed all numbers.
	greatest := slices.MaxFunc(services, func(a, b WeightedService) int { return cmp.Compare(a.Weight, b.Weight) }).Weight
	s, weights := &split{}, []float64{}
	for _, p := range services {
		if w := p.Weight / greatest; w > 0 {
			s.services, weights = append(s.services, p.Service), append(weights, w)
		}
	}
	if len(weights) == 0 {
		s.services, weights = []string{services[0].Service}, []float64{1}
	}
	s.shares, s.phases = make([]uint64, len(weights)-1), make([]atomic.Uint64, len(weights)-1)
	left := weights[len(weights)-1]
	for i := len(weights) - 2; i >= 0; i-- {
		left += weights[i]
		s.shares[i] = turns(weights[i] / left)
	}
	return s
}

// turns returns a share from 0 to 1 in fractions of 2^64, rounded down if it is 1.
func turns(share float64) uint64 {
	if share >= 1 {
		return math.MaxUint64
	}
	return uint64(math.Ldexp(share, 64))
}

// next returns the service of the next request. The function random returns a number of 64 bits.
func (s *split) next(random func() uint64) string {
	s.start.Do(func() {
		for i := range s.phases {
			s.phases[i].Store(random())
		}
	})
	for i, share := range s.shares {
		if s.phases[i].Add(share) < share {
			return s.services[i]
		}
	}
	return s.services[len(s.shares)]
}
