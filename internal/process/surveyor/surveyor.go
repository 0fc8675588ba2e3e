package surveyor

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// suspectTargets is the number of targets with unanswered contacts from which a check
	// is due. One or two targets often die together.
	suspectTargets = 3
	// suspicionTime is how long an unanswered contact counts.
	suspicionTime = 3 * time.Second
	// checkInterval is the time between two checks.
	checkInterval = 250 * time.Millisecond
)

// Surveyor decides whether an instance is cut off from all targets. It is safe for
// concurrent use.
type Surveyor struct {
	mutex sync.Mutex
	// unanswered holds, for each target, when a contact last went unanswered since the
	// last answered contact with any target.
	unanswered map[netip.AddrPort]time.Time
	// cutOff is written with the mutex held, and read without it for each request.
	cutOff atomic.Bool
	// checking means that a check is under way. checked is when the last one ended.
	checking bool
	checked  time.Time
}

// New returns a surveyor of an instance that is not cut off.
func New() *Surveyor { return &Surveyor{unanswered: map[netip.AddrPort]time.Time{}} }

// CutOff reports whether the instance is cut off from all targets.
func (s *Surveyor) CutOff() bool { return s.cutOff.Load() }

// Suspects reports whether a check of the links may be due: the instance is cut off, or a
// contact has gone unanswered.
func (s *Surveyor) Suspects() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cutOff.Load() || len(s.unanswered) > 0
}

// RecordAnswer records an answered contact. It reports whether it has ended a cut.
func (s *Surveyor) RecordAnswer() (ended bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.unanswered)
	return s.cutOff.Swap(false)
}

// RecordFailure records an unanswered contact with one of a number of targets.
func (s *Surveyor) RecordFailure(target netip.AddrPort, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unanswered[target] = now
}

// StartCheck reports whether a check of the links is due among the given number of targets.
// The caller then contacts some targets, records each contact, and calls EndCheck.
func (s *Surveyor) StartCheck(targets int, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for t, at := range s.unanswered {
		if now.Sub(at) > suspicionTime {
			delete(s.unanswered, t)
		}
	}
	suspected := s.cutOff.Load() || len(s.unanswered) >= min(suspectTargets, targets)
	if s.checking || targets == 0 || !suspected || now.Sub(s.checked) < checkInterval {
		return false
	}
	s.checking = true
	return true
}

// EndCheck records the end of a check and whether a target has answered. It reports whether
// the instance is found to be cut off now and was not before.
func (s *Surveyor) EndCheck(answered bool, now time.Time) (began bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.checking, s.checked = false, now
	if answered || len(s.unanswered) == 0 {
		return false
	}
	return !s.cutOff.Swap(true)
}
