package tracker

import (
	"sync"
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// Tracker holds the state of all targets.
type Tracker struct {
	// current is read on the path of a request.
	current atomic.Pointer[snapshot]

	mu      sync.Mutex
	entries map[Key]*entry
	// revision is that of the last list; an older one is ignored.
	revision uint64
	// read means that a list was read.
	read bool
	// ignored counts what was said about ended runs.
	ignored atomic.Int64
}

// New returns a tracker that knows no targets.
func New() *Tracker {
	t := &Tracker{entries: make(map[Key]*entry)}
	t.current.Store(newSnapshot(nil))
	return t
}

// ApplyList takes in a revision of the platform's list.
func (t *Tracker) ApplyList(l *lister.List, now time.Time) []Rumor {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.read && l.Revision <= t.revision {
		return nil
	}
	var told []Rumor
	named := make(map[Key]bool, len(l.Targets))
	for _, target := range l.Targets {
		k := Key{Place: target.Place, Service: target.Service, Address: target.Address}
		named[k] = true
		if t.name(k, target, now) {
			told = append(told, t.rumor(t.entries[k], now))
		}
	}
	t.omit(named, now)
	t.read, t.revision = true, l.Revision
	t.publish()
	return told
}

// Observe takes in what a target itself said.
func (t *Tracker) Observe(v Observation, now time.Time) []Rumor {
	if known := t.current.Load().views[v.Key]; known != nil && known.repeats(v) {
		hear(known.heard, v.Sent)
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[v.Key]
	if e == nil {
		return nil
	}
	if e.ended(v) {
		t.ignored.Add(1)
		if v.State == Draining {
			e.warn(v.Start, v.Sent)
			t.publish()
		}
		return nil
	}
	began := e.answer(v, now)
	t.publish()
	if !began {
		return nil
	}
	return []Rumor{t.rumor(e, now)}
}

// Receive takes in what a peer told. It reports whether that was new, so that it
// can be passed on.
func (t *Tracker) Receive(r Rumor, now time.Time) bool {
	if r.Age < 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[r.Key]
	if e == nil {
		if len(t.entries) >= maxUnlisted+t.listed() {
			return false
		}
		e = newEntry(r.Key, now)
		t.entries[r.Key] = e
	}
	if !e.told(r, now) {
		return false
	}
	t.publish()
	return true
}

// Leaving returns all leaving runs, for a peer that has just started.
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

// Ignored returns how often something was said about an ended run.
func (t *Tracker) Ignored() int64 { return t.ignored.Load() }

func (t *Tracker) rumor(e *entry, now time.Time) Rumor {
	return Rumor{Key: e.key, Start: e.start, Age: max(0, now.Sub(e.signed))}
}

func (t *Tracker) listed() int {
	n := 0
	for _, e := range t.entries {
		if e.listed {
			n++
		}
	}
	return n
}
