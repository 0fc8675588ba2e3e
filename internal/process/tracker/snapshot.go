package tracker

import (
	"sort"
	"sync/atomic"
	"time"
)

// view is an entry as it was when the snapshot was taken. It is never modified.
type view struct {
	target    Target
	listed    bool
	omitted   time.Time
	mass      bool
	suspected time.Time
	heard     *atomic.Int64
}

// usable reports whether the target may get new work.
func (v *view) usable(now time.Time) bool {
	if v.target.State == Draining {
		return false
	}
	if !v.suspected.IsZero() && now.Sub(v.suspected) < Settle {
		return false
	}
	switch {
	case v.listed:
		return true
	case v.mass:
		last := latest(v.omitted, time.Unix(0, v.heard.Load()))
		return now.Sub(last) < Doubt
	}
	return !v.omitted.IsZero() && now.Sub(v.omitted) < Grace
}

// steady reports whether usable does not depend on the time.
func (v *view) steady() bool {
	return v.target.State == Draining || v.listed && v.suspected.IsZero()
}

// group holds the views of one service.
type group struct {
	views []*view
	// usable is valid at any time if steady is true.
	usable []Target
	steady bool
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
				Suspected: !e.suspected.IsZero(),
			},
			listed: e.listed, omitted: e.omitted, mass: e.mass, suspected: e.suspected, heard: e.heard,
		}
		s.views[k] = v
		name := Service{Place: k.Place, Service: k.Service}
		if s.groups[name] == nil {
			s.groups[name] = &group{steady: true}
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
	g.steady = g.steady && v.steady()
}

func (g *group) finish() {
	sort.Slice(g.views, func(i, j int) bool {
		return g.views[i].target.Address.Compare(g.views[j].target.Address) < 0
	})
	if g.steady {
		g.usable = g.collect(time.Time{})
	}
}

func (g *group) collect(now time.Time) []Target {
	var found []Target
	for _, v := range g.views {
		if v.usable(now) {
			found = append(found, v.target)
		}
	}
	return found
}

// repeats reports whether the evidence says what is known, so that only the
// time of the answer needs to be noted.
func (v *view) repeats(e Observation) bool {
	return v.suspected.IsZero() && (e.Start == "" || e.Start == v.target.Start) && e.State == v.target.State
}

func (t *Tracker) publish() { t.current.Store(newSnapshot(t.entries)) }

// Usable returns the targets of a service that may get new work, in order of
// address. The caller must not modify the slice. Heard is not filled in.
func (t *Tracker) Usable(place, service string, now time.Time) []Target {
	g := t.current.Load().groups[Service{Place: place, Service: service}]
	if g == nil {
		return nil
	}
	if g.steady {
		return g.usable
	}
	return g.collect(now)
}

// Target returns what is known about one target.
func (t *Tracker) Target(k Key) (Target, bool) {
	v := t.current.Load().views[k]
	if v == nil {
		return Target{}, false
	}
	return v.full(), true
}

// All returns all targets of a service, usable or not, in order of address.
func (t *Tracker) All(place, service string) []Target {
	g := t.current.Load().groups[Service{Place: place, Service: service}]
	if g == nil {
		return nil
	}
	all := make([]Target, 0, len(g.views))
	for _, v := range g.views {
		all = append(all, v.full())
	}
	return all
}

func (v *view) full() Target {
	full := v.target
	if n := v.heard.Load(); n != 0 {
		full.LastAnswered = time.Unix(0, n)
	}
	return full
}
