package assembler

import (
	"sync"
	"time"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// horizon tells until when callers may still come and requests may still run
// under the settings in force and under earlier ones.
type horizon struct {
	mutex   sync.Mutex
	current *resolver.Snapshot
	// kept and due are the ends of all that earlier settings have allowed.
	kept, due time.Time
}

// change takes in that other settings are in force from now on.
func (h *horizon) change(s *resolver.Snapshot, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.kept, h.due = h.ends(now)
	h.current = s
}

// at returns until when an answer given by now may be kept, and until when a
// request that has come in by now may run.
func (h *horizon) at(now time.Time) (kept, due time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.ends(now)
}

// ends is called with the mutex held.
func (h *horizon) ends(now time.Time) (kept, due time.Time) {
	kept, due = h.kept, h.due
	if h.current == nil {
		return kept, due
	}
	for _, p := range h.current.Policies {
		kept = later(kept, now.Add(p.HomesTTL))
		due = later(due, now.Add(p.Deadline))
	}
	return kept, due
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
