package router

import "sync"

// Splitter deals the requests of each route out to its parts by their weights.
//
// Each route's requests are dealt in turn (smooth weighted round-robin), so the
// shares are exact after few requests, where drawing at random would stray.
type Splitter struct {
	mutex sync.Mutex
	// credit holds what each part of a route is owed, by route name and service.
	// The credits of a route add up to 0.
	credit map[string]map[string]int
	// Random returns a number from 0 up to n, to start instances at different
	// places of the deal.
	Random func(n int) int
}

// NewSplitter returns a splitter that has dealt nothing.
func NewSplitter(random func(n int) int) *Splitter {
	return &Splitter{credit: map[string]map[string]int{}, Random: random}
}

// Pick returns the service of the route's next request.
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
		for range s.Random(total) {
			deal(r.Services, credit, total)
		}
	}
	return deal(r.Services, credit, total)
}

// deal gives every part its weight, and takes the total from the richest.
func deal(parts []WeightedService, credit map[string]int, total int) string {
	best := ""
	for _, p := range parts {
		credit[p.Service] += p.Weight
		if p.Weight > 0 && (best == "" || credit[p.Service] > credit[best]) {
			best = p.Service
		}
	}
	credit[best] -= total
	return best
}
