package seeker

import (
	"net/netip"
	"sync"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/detector"
)

const (
	// failureLimit is the number of unanswered questions in a row after which a
	// zone counts as silent: one instance may be gone without being known to be.
	failureLimit = 2
	// silence is how long it counts as silent: about the time in which instances
	// come back after a restart.
	silence = 2 * time.Second
)

// Seeker holds which instance of each zone is asked. It is safe for concurrent use.
type Seeker struct {
	// Random returns a number from 0 up to n.
	Random func(n int) int

	mutex sync.Mutex
	zones map[string]*zone
}

// zone is what is known of the instances of one zone.
type zone struct {
	peer netip.AddrPort
	// failures counts unanswered questions in a row; failed is when the last was given up.
	failures int
	failed   time.Time
}

// Peer returns the instance of a zone to ask; false is none.
func (s *Seeker) Peer(name string, members []detector.Member, now time.Time) (netip.AddrPort, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	z := s.zone(name)
	if z.failures >= failureLimit {
		if now.Sub(z.failed) < silence {
			return netip.AddrPort{}, false
		}
		// One more failure silences the zone again.
		z.failures = failureLimit - 1
	}
	var live []netip.AddrPort
	for _, m := range members {
		if m.Instance.Zone != name || m.State != detector.Alive || m.Leaving {
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

// RecordResult takes in whether the instance that was asked in a zone has answered.
func (s *Seeker) RecordResult(name string, answered bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	z := s.zone(name)
	if answered {
		z.failures = 0
		return
	}
	z.failures++
	z.failed, z.peer = now, netip.AddrPort{}
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
