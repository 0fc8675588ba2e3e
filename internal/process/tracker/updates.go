package tracker

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// applyListed applies the list's entry of one target. It reports whether this is the
// first report that the current run of the target is leaving.
func (t *Tracker) applyListed(k Key, l lister.Target, now time.Time) bool {
	e := t.entries[k]
	if e == nil {
		e = newEntry(k, now)
		if t.hasList {
			e.since = now
		}
		t.entries[k] = e
	}
	previousStart := e.listedStart
	e.zone, e.listedStart = l.Zone, l.Start
	e.listed, e.massOmitted, e.omittedAt = true, false, time.Time{}
	state := e.state
	if l.State == lister.Leaving {
		state = Draining
	}
	switch {
	case l.Start == "" || l.Start == e.start:
		return e.setState(state, now)
	case e.isRetired(l.Start):
		t.ignored.Add(1)
		return false
	case e.start == "":
		e.start = l.Start
		return e.setState(state, now)
	case !e.reported || previousStart == e.start || e.state == Draining && now.Sub(e.leavingSince) >= MaxListLag:
		return t.replaceRun(e, l, now)
	}
	// The run itself or a peer has reported the current run, and the list has never
	// named it. So the list may name an earlier run. A later run will report itself.
	t.ignored.Add(1)
	if l.State == lister.Leaving {
		e.retireOther(l.Start, now)
	}
	return false
}

// replaceRun begins the run that the list names and reports whether it is leaving.
func (t *Tracker) replaceRun(e *entry, l lister.Target, now time.Time) bool {
	state := Ready
	if l.State == lister.Leaving {
		state = Draining
	}
	e.beginRun(l.Start, state, false, now)
	return state == Draining
}

// applyOmissions records which targets the list omits, and forgets unlisted targets
// once ForgetAfter has passed.
func (t *Tracker) applyOmissions(named map[Key]bool, now time.Time) {
	listed, omitted := make(map[Service]int), make(map[Service]int)
	for k, e := range t.entries {
		if !e.listed {
			continue
		}
		s := Service{Place: k.Place, Service: k.Service}
		listed[s]++
		if !named[k] {
			omitted[s]++
		}
	}
	for k, e := range t.entries {
		s := Service{Place: k.Place, Service: k.Service}
		if e.listed && !named[k] {
			e.listed, e.omittedAt = false, now
			e.massOmitted = 2*omitted[s] > listed[s]
		}
		if !e.listed && now.Sub(latest(e.omittedAt, e.firstReported, e.leavingSince)) >= ForgetAfter {
			delete(t.entries, k)
		}
	}
}

// aboutEndedRun reports whether an observation is about a run that has ended: the run
// is retired, or the request was sent before the current run was first reported or
// before the latest report that another run is leaving.
func (e *entry) aboutEndedRun(o Observation) bool {
	if o.Start == "" || o.Start == e.start {
		return false
	}
	return e.isRetired(o.Start) || e.start != "" && o.Sent.Before(latest(e.firstReported, e.otherLeavingAt))
}

// applyObservation applies what the target reported about a run that has not ended. It
// reports whether this is the first report that the run is leaving.
func (e *entry) applyObservation(o Observation, now time.Time) bool {
	advance(e.lastAnswered, o.Sent)
	if o.Start != "" && e.start != "" && o.Start != e.start {
		e.beginRun(o.Start, o.State, true, now)
		return o.State == Draining
	}
	if o.Start != "" {
		e.start, e.reported = o.Start, true
	}
	if o.Sent.After(e.suspectedAt) {
		e.suspectedAt = time.Time{}
	}
	return e.setState(o.State, now)
}

// applyRumor applies the rumor of a peer and reports whether it was new.
func (e *entry) applyRumor(r Rumor, now time.Time) bool {
	if e.isRetired(r.Start) {
		return false
	}
	reportedAt := now.Add(-r.Age)
	if r.Start == e.start || e.start == "" {
		e.start, e.reported = r.Start, true
		return e.setState(Draining, reportedAt)
	}
	e.retireOther(r.Start, reportedAt)
	return true
}

// latest returns the latest of the given times.
func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, at := range times {
		if at.After(last) {
			last = at
		}
	}
	return last
}
