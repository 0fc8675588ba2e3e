package lister

import (
	"encoding/json"
	"net/netip"

	"github.com/gravitational/trace"
)

// State is the published state of an instance or a target.
type State string

// The states that a list may give.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one published instance of the system.
type Instance struct {
	// Address serves callers over HTTP.
	Address netip.AddrPort `json:"address"`
	// Peer serves the other instances over framed TCP.
	Peer netip.AddrPort `json:"peer"`
	// Admin serves operators; it is not valid when nobody has told it.
	Admin netip.AddrPort `json:"admin,omitzero"`
	// Place is the place of the settings tree that the instance serves.
	Place string `json:"place"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// State is Live or Leaving.
	State State `json:"state"`
}

// Target is one published target of a service.
type Target struct {
	Address netip.AddrPort `json:"address"`
	Place   string         `json:"place"`
	Service string         `json:"service"`
	Zone    string         `json:"zone"`
	// State is Live or Leaving.
	State State `json:"state"`
	// Start names one run of the target's process; it changes with every start.
	Start string `json:"start"`
}

// List is one revision of the platform's list.
type List struct {
	// Revision orders lists; a higher one is newer.
	Revision  uint64     `json:"revision"`
	Instances []Instance `json:"instances"`
	Targets   []Target   `json:"targets"`
}

// Decode reads a published list.
func Decode(text []byte) (*List, error) {
	l := &List{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, trace.Wrap(err, "the list of instances is not valid JSON")
	}
	return l, nil
}

// ServiceTargets returns the targets of one service at one place.
func (l *List) ServiceTargets(place, service string) []Target {
	var found []Target
	for _, t := range l.Targets {
		if t.Place == place && t.Service == service {
			found = append(found, t)
		}
	}
	return found
}
