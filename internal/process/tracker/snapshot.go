package tracker

import (
	"sort"
	"sync/atomic"
	"time"
)

// view is the state of an entry at the time of the snapshot. It is never modified,
// except for lastAnswered, which it shares with the entry.
type view struct {
	target       Target
	listed       bool
	omittedAt    time.Time
	massOmitted  bool
	suspectedAt  time.Time
	lastAnswered *atomic.Int64
}

// usable reports whether the target may get new work.
func (v *view) usable(now time.Time) bool {
	if v.target.State == Draining {
		return false
	}
	if !v.suspectedAt.IsZero() && now.Sub(v.suspectedAt) < MaxListLag {
		return false
	}
	switch {
	case v.listed:
		return true
	case v.massOmitted:
		last := latest(v.omittedAt, time.Unix(0, v.lastAnswered.Load()))
		return now.Sub(last) < MassOmissionGrace
	}
	return !v.omittedAt.IsZero() && now.Sub(v.omittedAt) < OmissionGrace
}

// static reports whether the result of usable does not depend on the time.
func (v *view) static() bool {
	return v.target.State == Draining || v.listed && v.suspectedAt.IsZero()
}

// group holds the views of one service.
type group struct {
	views []*view
	// usable holds the usable targets. It is valid at any time, and set only if static
	// is true.
	usable []Target
	// static means that the usable targets of the service do not depend on the time.
	static bool
}

// snapshot is the state of all targets. It is never modified.
type snapshot struct {
	views  map[Key]*view
	groups map[Service]*group
}

func newSnapshot(entries map[Key]*entry) *snapshot {
	s := &snapshot{views: make(map[Key]*view, len(entries)), groups: make(map[Service]*group)}
	for k, e := range entries {
		v := &view{
			target: Target{
				Address: k.Address, Zone: e.zone, Start: e.start, State: e.state, Since: e.since,
				Suspected: !e.suspectedAt.IsZero(),
			},
			listed: e.listed, omittedAt: e.omittedAt, massOmitted: e.massOmitted, suspectedAt: e.suspectedAt, lastAnswered: e.lastAnswered,
		}
		s.views[k] = v
		name := Service{Place: k.Place, Service: k.Service}
		if s.groups[name] == nil {
			s.groups[name] = &group{static: true}
		}
		s.groups[name].add(v)
	}
	for _, g := range s.groups {
		g.finish()
	}
	return s
}

func (g *group) add(v *view) {
	g.views = append(g.views, v)
	g.static = g.static && v.static()
}

// finish sorts the views by address and fills in usable if it does not depend on
// the time.
func (g *group) finish() {
	sort.Slice(g.views, func(i, j int) bool {
		return g.views[i].target.Address.Compare(g.views[j].target.Address) < 0
	})
	if g.static {
		g.usable = g.collect(time.Time{})
	}
}

// collect returns the usable targets.
func (g *group) collect(now time.Time) []Target {
	var found []Target
	for _, v := range g.views {
		if v.usable(now) {
			found = append(found, v.target)
		}
	}
	return found
}

// repeats reports whether an observation holds nothing new except the time at which
// its request was sent.
func (v *view) repeats(o Observation) bool {
	return v.suspectedAt.IsZero() && (o.Start == "" || o.Start == v.target.Start) && o.State == v.target.State
}

func (t *Tracker) publish() { t.current.Store(newSnapshot(t.entries)) }

// Usable returns the targets of a service that may get new work, ordered by address.
// The caller must not modify the slice. LastAnswered is not filled in.
func (t *Tracker) Usable(place, service string, now time.Time) []Target {
	g := t.current.Load().groups[Service{Place: place, Service: service}]
	if g == nil {
		return nil
	}
	if g.static {
		return g.usable
	}
	return g.collect(now)
}

// Target returns the state of one target.
func (t *Tracker) Target(k Key) (Target, bool) {
	v := t.current.Load().views[k]
	if v == nil {
		return Target{}, false
	}
	return v.withLastAnswered(), true
}

// All returns all targets of a service, usable or not, ordered by address.
func (t *Tracker) All(place, service string) []Target {
	g := t.current.Load().groups[Service{Place: place, Service: service}]
	if g == nil {
		return nil
	}
	all := make([]Target, 0, len(g.views))
	for _, v := range g.views {
		all = append(all, v.withLastAnswered())
	}
	return all
}

// withLastAnswered returns the target with LastAnswered filled in.
func (v *view) withLastAnswered() Target {
	target := v.target
	if n := v.lastAnswered.Load(); n != 0 {
		target.LastAnswered = time.Unix(0, n)
	}
	return target
}
