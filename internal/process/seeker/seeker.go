package seeker

import (
	"net/netip"
	"sync"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/detector"
)

const (
	// failureLimit is the number of consecutive queries without a response after which a
	// zone counts as unresponsive. It exceeds 1 because a single instance may have failed
	// before the membership shows it.
	failureLimit = 2
	// unresponsivePeriod is how long a zone counts as unresponsive. It is about the time
	// in which an instance restarts.
	unresponsivePeriod = 2 * time.Second
)

// Seeker selects the instance of each zone to query. It is safe for concurrent use.
type Seeker struct {
	// Random returns a number in [0, n).
	Random func(n int) int

	mutex sync.Mutex
	zones map[string]*zone
}

// zone is the state of the queries to one zone.
type zone struct {
	// peer is the instance that was queried last; zero after a failure.
	peer netip.AddrPort
	// failures counts consecutive queries without a response; failedAt is when the last
	// of them was given up.
	failures int
	failedAt time.Time
}

// Peer returns the instance of a zone to query, and false if the zone is unresponsive or
// has no live instance that is not leaving.
func (s *Seeker) Peer(zoneName string, members []detector.Member, now time.Time) (netip.AddrPort, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	z := s.zone(zoneName)
	if z.failures >= failureLimit {
		if now.Sub(z.failedAt) < unresponsivePeriod {
			return netip.AddrPort{}, false
		}
		// One more failure makes the zone unresponsive again.
		z.failures = failureLimit - 1
	}
	var live []netip.AddrPort
	for _, m := range members {
		if m.Instance.Zone != zoneName || !m.Serves() {
			continue
		}
		if m.Instance.Peer == z.peer {
			return z.peer, true
		}
		live = append(live, m.Instance.Peer)
	}
	if len(live) == 0 {
		return netip.AddrPort{}, false
	}
	z.peer = live[s.Random(len(live))]
	return z.peer, true
}

// RecordResult records whether the instance that was queried in a zone has responded.
func (s *Seeker) RecordResult(zoneName string, responded bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	z := s.zone(zoneName)
	if responded {
		z.failures = 0
		return
	}
	z.failures++
	z.failedAt, z.peer = now, netip.AddrPort{}
}

func (s *Seeker) zone(name string) *zone {
	if s.zones == nil {
		s.zones = map[string]*zone{}
	}
	z := s.zones[name]
	if z == nil {
		z = &zone{}
		s.zones[name] = z
	}
	return z
}
