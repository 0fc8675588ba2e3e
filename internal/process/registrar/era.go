package registrar

import (
	"maps"
	"slices"
	"time"
)

// restoreTime is how long, after the store has returned from a copy, what was known before
// goes before what the copy says. Operators and targets write again what was lost within this
// time: a few times that in which entries of targets expire.
const restoreTime = 15 * time.Second

// enterEra returns the emptied zones by a list, or nil if the list says nothing of them. Zones
// that were emptied before the store returned from a copy stay so, though the copy does not
// have them, until a list of the new era has named them as emptied or taken back, or for
// restoreTime.
func (r *Registrar) enterEra(l *List, now time.Time) []string {
	if !r.listed {
		r.listed, r.era = true, l.Era
	}
	if l.Era > r.era {
		r.era, r.eraSince, r.held = l.Era, now, maps.Clone(r.emptied)
	}
	if l.Emptied == nil {
		return nil
	}
	zones := append([]string{}, l.Emptied...)
	for _, z := range slices.Concat(zones, l.TakenBack) {
		delete(r.held, z)
	}
	if !r.isRestoring(now) {
		clear(r.held)
	}
	for z := range r.held {
		zones = append(zones, z)
	}
	return zones
}

// isRestoring reports whether the store has returned from a copy within restoreTime.
func (r *Registrar) isRestoring(now time.Time) bool { return now.Sub(r.eraSince) < restoreTime }

// grace returns how long runs that a list omits stay usable. A list of an older build only
// says that it may lack live targets. The reader may also have started after the store returned
// from a copy, and so not know it.
func (r *Registrar) grace(l *List, now time.Time) time.Duration {
	grace := min(l.Grace, returnGrace)
	if l.MayBeIncomplete && l.Grace == 0 {
		grace = removalGrace(r.Drain)
	}
	return max(grace, r.eraSince.Add(omissionGrace).Sub(now))
}

// isOutdated reports whether an entry that a list shows is known to be outdated: the run has
// ended since the copy was made, and has not written its entry again.
func (r *Registrar) isOutdated(e *entry, now time.Time) bool {
	return e.state == Gone && e.run.Copied && r.isRestoring(now)
}

// ExpireZones takes back the zones that no list of the new era has named within restoreTime
// and returns them.
func (r *Registrar) ExpireZones(now time.Time) []ZoneChange {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.held) == 0 || r.isRestoring(now) {
		return nil
	}
	zones := []string{}
	for z := range r.emptied {
		if !r.held[z] {
			zones = append(zones, z)
		}
	}
	r.held = nil
	changes := r.setEmptied(zones, now)
	r.countRuns(changes)
	return changes
}
