package tracker

import (
	"sync"
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// Tracker holds the state of all targets.
type Tracker struct {
	// current is the state that requests read without the lock.
	current atomic.Pointer[snapshot]

	mu      sync.Mutex
	entries map[Key]*entry
	// revision is the revision of the last list. Older lists are ignored.
	revision uint64
	// hasList means that a list was read.
	hasList bool
	// ignored counts the ignored reports about ended runs.
	ignored atomic.Int64
}

// New returns a tracker without targets.
func New() *Tracker {
	t := &Tracker{entries: make(map[Key]*entry)}
	t.current.Store(newSnapshot(nil))
	return t
}

// ApplyList applies a revision of the platform's list. It returns the rumors for
// the peers about the runs that this revision is the first to report as leaving.
func (t *Tracker) ApplyList(l *lister.List, now time.Time) []Rumor {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasList && l.Revision <= t.revision {
		return nil
	}
	var rumors []Rumor
	named := make(map[Key]bool, len(l.Targets))
	for _, target := range l.Targets {
		k := Key{Place: target.Place, Service: target.Service, Address: target.Address}
		named[k] = true
		if t.applyListed(k, target, now) {
			rumors = append(rumors, t.rumor(t.entries[k], now))
		}
	}
	t.applyOmissions(named, now)
	t.hasList, t.revision = true, l.Revision
	t.publish()
	return rumors
}

// Observe applies what a target reported. It ignores unknown targets. If the
// observation is the first report that the run is leaving, Observe returns the rumor
// for the peers.
func (t *Tracker) Observe(o Observation, now time.Time) []Rumor {
	if known := t.current.Load().views[o.Key]; known != nil && known.repeats(o) {
		advance(known.lastAnswered, o.Sent)
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[o.Key]
	if e == nil {
		return nil
	}
	if e.aboutEndedRun(o) {
		t.ignored.Add(1)
		if o.State == Draining {
			e.retireOther(o.Start, o.Sent)
			t.publish()
		}
		return nil
	}
	began := e.applyObservation(o, now)
	t.publish()
	if !began {
		return nil
	}
	return []Rumor{t.rumor(e, now)}
}

// Receive applies the rumor of a peer. It reports whether the rumor was new and
// should be passed on.
func (t *Tracker) Receive(r Rumor, now time.Time) bool {
	if r.Age < 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[r.Key]
	if e == nil {
		if len(t.entries) >= maxUnlisted+t.countListed() {
			return false
		}
		e = newEntry(r.Key, now)
		t.entries[r.Key] = e
	}
	if !e.applyRumor(r, now) {
		return false
	}
	t.publish()
	return true
}

// Leaving returns rumors of all current runs that are leaving, for a peer that has
// just started.
func (t *Tracker) Leaving(now time.Time) []Rumor {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Rumor
	for _, e := range t.entries {
		if e.state == Draining {
			all = append(all, t.rumor(e, now))
		}
	}
	return all
}

// Ignored returns the number of ignored reports about ended runs.
func (t *Tracker) Ignored() int64 { return t.ignored.Load() }

func (t *Tracker) rumor(e *entry, now time.Time) Rumor {
	return Rumor{Key: e.key, Start: e.start, Age: max(0, now.Sub(e.leavingSince))}
}

// countListed returns the number of targets that the list names.
func (t *Tracker) countListed() int {
	n := 0
	for _, e := range t.entries {
		if e.listed {
			n++
		}
	}
	return n
}
