package router

import "sync"

// Splitter distributes the requests of each route to its services by their weights.
//
// It uses smooth weighted round-robin, so that the number of requests of each
// service stays close to its exact share at any time. A random selection would
// deviate from the weights.
type Splitter struct {
	mutex sync.Mutex
	// credit holds the current weight of each service in the round-robin, by the
	// names of the route and the service. The credits of a route add up to 0.
	credit map[string]map[string]int
	// random returns a number from 0 to n-1. The rotation of a route starts at a
	// random position, so that instances do not all start with the same service.
	random func(n int) int
}

// NewSplitter returns an empty splitter. The function random returns a number from 0
// to n-1.
func NewSplitter(random func(n int) int) *Splitter {
	return &Splitter{credit: map[string]map[string]int{}, random: random}
}

// Pick returns the service for the next request of a route. When all weights are
// 0, it is the first service.
func (s *Splitter) Pick(r *Route) string {
	total := 0
	for _, p := range r.Services {
		total += p.Weight
	}
	if len(r.Services) == 1 || total == 0 {
		return r.Services[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	credit := s.credit[r.Name]
	if credit == nil {
		credit = map[string]int{}
		s.credit[r.Name] = credit
		for range s.random(total) {
			pickNext(r.Services, credit, total)
		}
	}
	return pickNext(r.Services, credit, total)
}

// pickNext adds the weight of every service to its credit, takes the total from the
// service with the highest credit and returns that service.
func pickNext(services []WeightedService, credit map[string]int, total int) string {
	best := ""
	for _, p := range services {
		credit[p.Service] += p.Weight
		if p.Weight > 0 && (best == "" || credit[p.Service] > credit[best]) {
			best = p.Service
		}
	}
	credit[best] -= total
	return best
}
