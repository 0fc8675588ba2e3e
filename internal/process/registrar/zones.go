package registrar

import (
	"slices"
	"strings"
	"time"
)

// ZoneChange is a zone that an operator has emptied or taken back.
type ZoneChange struct {
	Zone string
	// Emptied is false if the zone was taken back.
	Emptied bool
	// Runs is the number of the zone's runs that would be usable if it were not emptied.
	Runs int
}

// setEmptied replaces the emptied zones and returns the changes, sorted by zone. The runs of
// a zone that is taken back count as cold: without requests they lose what they had cached.
// If zones is nil, nothing changes.
func (r *Registrar) setEmptied(zones []string, now time.Time) []ZoneChange {
	if zones == nil {
		return nil
	}
	next := map[string]bool{}
	var changes []ZoneChange
	for _, z := range zones {
		if !next[z] && !r.emptied[z] {
			changes = append(changes, ZoneChange{Zone: z, Emptied: true})
		}
		next[z] = true
	}
	for z := range r.emptied {
		if !next[z] {
			changes = append(changes, ZoneChange{Zone: z})
		}
	}
	for _, e := range r.entries {
		if r.emptied[e.run.Zone] && !next[e.run.Zone] && r.Warmup != nil {
			e.extendWarmup(now.Add(r.Warmup(e.run.Service)))
		}
	}
	r.emptied = next
	slices.SortFunc(changes, func(a, b ZoneChange) int { return strings.Compare(a.Zone, b.Zone) })
	return changes
}

// countRuns sets the number of runs of each change.
func (r *Registrar) countRuns(changes []ZoneChange) {
	for k := range changes {
		for _, e := range r.entries {
			if e.state <= Missing && e.run.Zone == changes[k].Zone {
				changes[k].Runs++
			}
		}
	}
}

// visible returns the state of a run for logs and counts.
func (r *Registrar) visible(e *entry) State {
	if e.state <= Missing && r.emptied[e.run.Zone] {
		return Emptied
	}
	return e.state
}

// EmptiedZones returns the emptied zones, sorted.
func (r *Registrar) EmptiedZones() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	zones := make([]string, 0, len(r.emptied))
	for z := range r.emptied {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	return zones
}
