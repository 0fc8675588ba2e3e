package registrar

import (
	"sync"
	"time"
)

const (
	// returning is how long a run stays usable that an unsettled list omits: the
	// time in which the entries of live targets return after an outage.
	returning = 2 * time.Second
	// forget is how long a run that has left is remembered; lists that lag name it
	// for some seconds at most.
	forget = 10 * time.Minute
)

// State is what is believed of a run.
type State int

// The states of a run.
const (
	// Ready runs get new requests.
	Ready State = iota
	// Missing runs were omitted by an unsettled list and still get new requests.
	Missing
	// Leaving runs get no new requests and never will.
	Leaving
	// Gone runs are no longer listed.
	Gone
	stateCount
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"ready", "missing", "leaving", "gone"}[s] }

// Change is one change of belief, for the logs.
type Change struct {
	Run      Run
	State    State
	Previous State
	New      bool
	// Cause tells who said so.
	Cause string
}

// entry is what is believed of one run.
type entry struct {
	run   Run
	state State
	// warm is when the run reaches its usual speed.
	warm time.Time
	// until is when a Missing run is gone, or when a run was found to be gone. One
	// that only its entry had lapsed of may be listed again.
	until time.Time
	// left is when the run was said to be leaving, or was found gone by contact.
	left time.Time
	// listed means that the last list names the run.
	listed bool
}

// Registrar holds the runs of all targets.
type Registrar struct {
	// Changed is called for each change of belief; it must not block.
	Changed func(c Change)

	mutex   sync.Mutex
	entries map[string]*entry
}

// New returns a registrar that knows no run.
func New(changed func(c Change)) *Registrar {
	return &Registrar{Changed: changed, entries: map[string]*entry{}}
}

// Apply takes in a list that has come into force.
func (r *Registrar) Apply(l *List, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, e := range r.entries {
		e.listed = false
	}
	for i := range l.Runs {
		r.list(l.Runs[i], now)
	}
	for _, e := range r.entries {
		if !e.listed {
			r.omit(e, l.MayBeIncomplete, now)
		}
	}
}

func (r *Registrar) list(run Run, now time.Time) {
	e := r.entries[run.Key()]
	state := Ready
	if run.Leaving {
		state = Leaving
	}
	if e == nil {
		e = &entry{run: run, state: state, warm: now.Add(run.WarmupLeft), listed: true}
		r.entries[run.Key()] = e
		r.tell(Change{Run: run, State: state, Previous: Gone, New: true, Cause: "list"})
	}
	e.listed = true
	e.run = run
	if run.Leaving && e.left.IsZero() {
		e.left = now
	}
	if e.left.IsZero() || state == Leaving {
		r.set(e, state, "list")
	}
}

func (r *Registrar) omit(e *entry, unsettled bool, now time.Time) {
	switch {
	case unsettled && e.state == Ready:
		e.until = now.Add(returning)
		r.set(e, Missing, "list after an outage")
	case e.state == Missing && now.Before(e.until):
	case e.state != Gone:
		r.set(e, Gone, "list")
		e.until = now
	}
}

// MarkLeaving takes in that a run takes no new requests, as it said itself or a peer did.
func (r *Registrar) MarkLeaving(key, cause string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.entries[key]
	if e == nil || !e.left.IsZero() {
		return
	}
	e.left = now
	r.set(e, Leaving, cause)
}

func (r *Registrar) set(e *entry, s State, cause string) {
	if e.state == s {
		return
	}
	before := e.state
	e.state = s
	r.tell(Change{Run: e.run, State: s, Previous: before, Cause: cause})
}

func (r *Registrar) tell(c Change) {
	if r.Changed != nil {
		r.Changed(c)
	}
}

// Expire ends what has lasted long enough. It reports whether a run became
// unusable.
func (r *Registrar) Expire(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changed := false
	for key, e := range r.entries {
		if e.state == Missing && !now.Before(e.until) {
			r.set(e, Gone, "its entry did not return after the outage")
			e.until = now
			changed = true
		}
		last := e.until
		if e.left.After(last) {
			last = e.left
		}
		if e.state == Gone && now.Sub(last) > forget {
			delete(r.entries, key)
		}
	}
	return changed
}

// UsableRun is one run that may get new requests.
type UsableRun struct {
	Run
	// WarmupEnd is when the run reaches its usual speed.
	WarmupEnd time.Time
}

// Usable returns the runs that may get new requests, by service.
func (r *Registrar) Usable() map[string][]UsableRun {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := map[string][]UsableRun{}
	for _, e := range r.entries {
		if e.state <= Missing {
			all[e.run.Service] = append(all[e.run.Service], UsableRun{Run: e.run, WarmupEnd: e.warm})
		}
	}
	return all
}

// Count returns the number of runs in each state, by service.
func (r *Registrar) Count() map[string][stateCount]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := map[string][stateCount]int{}
	for _, e := range r.entries {
		n := all[e.run.Service]
		n[e.state]++
		all[e.run.Service] = n
	}
	return all
}
