package tracker

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// name takes in the list's word about one target and reports whether its run
// began to drain.
func (t *Tracker) name(k Key, l lister.Target, now time.Time) bool {
	e := t.entries[k]
	if e == nil {
		e = newEntry(k, now)
		if t.read {
			e.since = now
		}
		t.entries[k] = e
	}
	word := e.word
	e.zone, e.word = l.Zone, l.Start
	e.listed, e.mass, e.omitted = true, false, time.Time{}
	state := e.state
	if l.State == lister.Leaving {
		state = Draining
	}
	switch {
	case l.Start == "" || l.Start == e.start:
		return e.set(state, now)
	case e.hasLeft(l.Start):
		t.ignored.Add(1)
		return false
	case e.start == "":
		e.start = l.Start
		return e.set(state, now)
	case !e.met || word == e.start || e.state == Draining && now.Sub(e.signed) >= Settle:
		return t.replace(e, l, now)
	}
	// The run was met and the list never named it: the list's word may be about
	// an earlier run. A later one will answer for itself.
	t.ignored.Add(1)
	if l.State == lister.Leaving {
		e.warn(l.Start, now)
	}
	return false
}

// replace begins the run that the list names.
func (t *Tracker) replace(e *entry, l lister.Target, now time.Time) bool {
	state := Ready
	if l.State == lister.Leaving {
		state = Draining
	}
	e.begin(l.Start, state, false, now)
	return state == Draining
}

// omit takes in that the list no longer has some targets.
func (t *Tracker) omit(named map[Key]bool, now time.Time) {
	listed, gone := make(map[Service]int), make(map[Service]int)
	for k, e := range t.entries {
		if !e.listed {
			continue
		}
		s := Service{Place: k.Place, Service: k.Service}
		listed[s]++
		if !named[k] {
			gone[s]++
		}
	}
	for k, e := range t.entries {
		s := Service{Place: k.Place, Service: k.Service}
		if e.listed && !named[k] {
			e.listed, e.omitted = false, now
			e.mass = 2*gone[s] > listed[s]
		}
		if !e.listed && now.Sub(latest(e.omitted, e.seen, e.signed)) >= Forget {
			delete(t.entries, k)
		}
	}
}

// ended reports whether evidence is about a run that has ended: either it is
// known to, or its request was sent before a later run was first heard of.
func (e *entry) ended(v Observation) bool {
	if v.Start == "" || v.Start == e.start {
		return false
	}
	return e.hasLeft(v.Start) || e.start != "" && v.Sent.Before(latest(e.seen, e.warned))
}

// answer takes in what the target said about a run that has not ended, and
// reports whether that began to drain.
func (e *entry) answer(v Observation, now time.Time) bool {
	hear(e.heard, v.Sent)
	if v.Start != "" && e.start != "" && v.Start != e.start {
		e.begin(v.Start, v.State, true, now)
		return v.State == Draining
	}
	if v.Start != "" {
		e.start, e.met = v.Start, true
	}
	if v.Sent.After(e.suspected) {
		e.suspected = time.Time{}
	}
	return e.set(v.State, now)
}

// told takes in a peer's rumor and reports whether it was new.
func (e *entry) told(r Rumor, now time.Time) bool {
	if e.hasLeft(r.Start) {
		return false
	}
	sign := now.Add(-r.Age)
	if r.Start == e.start || e.start == "" {
		e.start, e.met = r.Start, true
		return e.set(Draining, sign)
	}
	e.warn(r.Start, sign)
	return true
}

func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, at := range times {
		if at.After(last) {
			last = at
		}
	}
	return last
}
