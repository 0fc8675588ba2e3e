package registrar

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// omissionGrace is how long after the store has returned from a copy a run that lists
	// omit stays usable. Entries of live targets return within this time.
	omissionGrace = 2 * time.Second
	// retention is how long a Gone run is remembered, so that an outdated list cannot make
	// a run that was leaving usable again. Lists are outdated by a few seconds at most;
	// the rest is margin.
	retention = 10 * time.Minute
)

// State says whether a run may get new requests.
type State int

// The states of a run, in an order that matters: runs up to Missing are usable.
const (
	// Ready runs may get new requests.
	Ready State = iota
	// Missing runs were omitted by a possibly incomplete list and may still get new
	// requests.
	Missing
	// Emptied runs would be Ready or Missing, but an operator has emptied their availability
	// zone. They are usable again once the zone is taken back.
	Emptied
	// Leaving runs never get new requests again.
	Leaving
	// Gone runs are no longer listed. A Gone run whose entry merely expired at the
	// platform may be listed again and is then Ready.
	Gone
	stateCount
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"ready", "missing", "emptied", "leaving", "gone"}[s]
}

// Change is a change of a run's state, for the logs.
type Change struct {
	Run      Run
	State    State
	Previous State
	// New means that the run was unknown before.
	New bool
	// Cause says where the change comes from, such as a list or a peer.
	Cause string
}

// entry holds the state of one run.
type entry struct {
	run Run
	// state is never Emptied, so that it outlasts the emptying of the zone.
	state State
	// warmupEnd is when the run reaches its usual speed. It is not before the run was first
	// listed.
	warmupEnd time.Time
	// goneAt is the time by which a Missing run must be listed again, and for a Gone run
	// the time at which it became Gone. It has no meaning in the other states.
	goneAt time.Time
	// leavingSince is when the run was reported to be leaving, or when contact with its
	// address showed that it is gone; zero if neither happened.
	leavingSince time.Time
	// listed means that the latest list contains the run.
	listed bool
}

// Registrar tracks the runs of all targets. It is safe for concurrent use.
type Registrar struct {
	// OnChange is called for each change of a run's state; it must not block. It may be
	// nil.
	OnChange func(c Change)
	// Drain is how long a target serves after its entry was removed; 0 if unknown.
	Drain time.Duration
	// Warmup returns the slow period of a service's targets. If it is nil, there is none.
	Warmup func(service string) time.Duration

	// listedRuns is the number of runs in the latest list.
	listedRuns atomic.Int64

	mutex   sync.Mutex
	entries map[string]*entry
	// emptied holds the emptied zones.
	emptied map[string]bool
	// listed is set once a list has been applied. era is the latest era of a list, and eraSince
	// when its first list was applied; zero if no list of an earlier era was applied before.
	listed   bool
	era      uint64
	eraSince time.Time
	// held holds the zones that are emptied by the word of an earlier era only.
	held map[string]bool
}

// New returns a registrar without runs.
func New(onChange func(c Change)) *Registrar {
	return &Registrar{OnChange: onChange, entries: map[string]*entry{}}
}

// Apply applies a list that has come into force. It returns the zones that the list empties
// or takes back.
func (r *Registrar) Apply(l *List, now time.Time) []ZoneChange {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changes := r.setEmptied(r.enterEra(l, now), now)
	for _, e := range r.entries {
		e.listed = false
	}
	for i := range l.Runs {
		r.applyRun(l.Runs[i], now)
	}
	r.listedRuns.Store(int64(len(l.Runs)))
	for _, e := range r.entries {
		if !e.listed {
			r.applyOmission(e, r.grace(l, now), now)
		}
	}
	r.countRuns(changes)
	return changes
}

func (r *Registrar) applyRun(run Run, now time.Time) {
	e := r.entries[run.Key()]
	state := Ready
	if run.Leaving {
		state = Leaving
	}
	if e == nil {
		e = &entry{run: run, state: state, warmupEnd: now.Add(run.WarmupLeft), listed: true}
		r.entries[run.Key()] = e
		r.notify(Change{Run: run, State: r.visible(e), Previous: Gone, New: true, Cause: "list"})
	}
	if run.WarmupLeft > e.run.WarmupLeft {
		e.extendWarmup(now.Add(run.WarmupLeft))
	}
	e.listed = true
	e.run = run
	if run.Leaving && e.leavingSince.IsZero() {
		e.leavingSince = now
	}
	if (e.leavingSince.IsZero() || state == Leaving) && !r.isOutdated(e, now) {
		r.setState(e, state, "list")
	}
}

func (r *Registrar) applyOmission(e *entry, grace time.Duration, now time.Time) {
	switch {
	case grace > 0 && e.state == Ready:
		e.goneAt = now.Add(grace)
		r.setState(e, Missing, "list after an outage")
	case e.state == Missing && now.Before(e.goneAt):
		// A later list does not shorten the grace period.
	case e.state != Gone:
		r.setState(e, Gone, "list")
		e.goneAt = now
	}
}

// MarkLeaving records that a run accepts no new requests, as the run itself or a peer
// has reported. Cause is the reason for the logs. It reports whether the run is listed
// and was not known to leave.
func (r *Registrar) MarkLeaving(key, cause string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.entries[key]
	if e == nil || !e.leavingSince.IsZero() {
		return false
	}
	e.leavingSince = now
	r.setState(e, Leaving, cause)
	return true
}

func (r *Registrar) setState(e *entry, s State, cause string) {
	if e.state == s {
		return
	}
	previous := r.visible(e)
	e.state = s
	r.notify(Change{Run: e.run, State: r.visible(e), Previous: previous, Cause: cause})
}

func (r *Registrar) notify(c Change) {
	if r.OnChange != nil {
		r.OnChange(c)
	}
}

// NextExpiry returns when the next Missing run becomes Gone, or zero if there is none.
func (r *Registrar) NextExpiry() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var next time.Time
	for _, e := range r.entries {
		if e.state == Missing && (next.IsZero() || e.goneAt.Before(next)) {
			next = e.goneAt
		}
	}
	return next
}

// Expire changes Missing runs to Gone when their grace is over and forgets runs after
// retention. It reports whether a run became unusable.
func (r *Registrar) Expire(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changed := false
	for key, e := range r.entries {
		if e.state == Missing && !now.Before(e.goneAt) {
			r.setState(e, Gone, "its entry did not return after the outage")
			e.goneAt = now
			changed = true
		}
		last := e.goneAt
		if e.leavingSince.After(last) {
			last = e.leavingSince
		}
		if e.state == Gone && now.Sub(last) > retention {
			delete(r.entries, key)
		}
	}
	return changed
}

// UsableRun is a run that may get new requests.
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
		if e.state <= Missing && !r.emptied[e.run.Zone] {
			all[e.run.Service] = append(all[e.run.Service], UsableRun{Run: e.run, WarmupEnd: e.warmupEnd})
		}
	}
	return all
}

// Listed returns the number of runs in the latest list.
func (r *Registrar) Listed() int { return int(r.listedRuns.Load()) }

// Count returns the number of runs in each state, by service.
func (r *Registrar) Count() map[string][stateCount]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := map[string][stateCount]int{}
	for _, e := range r.entries {
		n := all[e.run.Service]
		n[r.visible(e)]++
		all[e.run.Service] = n
	}
	return all
}
