package lister

import (
	"encoding/json"
	"net/netip"

	"github.com/gravitational/trace"
)

// State is the published state of an instance or a target.
type State string

// The states of a published list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is a published instance of the load balancer.
type Instance struct {
	// Address is the HTTP address for callers.
	Address netip.AddrPort `json:"address"`
	// Peer is the address for the other instances, which use framed messages over
	// TCP.
	Peer netip.AddrPort `json:"peer"`
	// Admin is the address for operators. It is the invalid zero AddrPort when it is
	// not known.
	Admin netip.AddrPort `json:"admin,omitzero"`
	// Place is the region or site that the instance serves: a node below the root of
	// the settings tree.
	Place string `json:"place"`
	// Zone is the availability zone of the instance.
	Zone string `json:"zone"`
	// State is Live or Leaving.
	State State `json:"state"`
}

// Target is a published target of a service.
type Target struct {
	Address netip.AddrPort `json:"address"`
	Place   string         `json:"place"`
	Service string         `json:"service"`
	Zone    string         `json:"zone"`
	// State is Live or Leaving.
	State State `json:"state"`
	// Start identifies the run of the target's process. It changes with every start.
	Start string `json:"start"`
}

// List is one revision of the platform's list.
type List struct {
	// Revision orders lists: a higher revision is newer.
	Revision  uint64     `json:"revision"`
	Instances []Instance `json:"instances"`
	Targets   []Target   `json:"targets"`
}

// Decode decodes a published list from JSON.
func Decode(text []byte) (*List, error) {
	l := &List{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, trace.Wrap(err, "cannot decode the list of instances and targets from JSON")
	}
	return l, nil
}

// ServiceTargets returns the targets of a service at a place.
func (l *List) ServiceTargets(place, service string) []Target {
	var found []Target
	for _, t := range l.Targets {
		if t.Place == place && t.Service == service {
			found = append(found, t)
		}
	}
	return found
}
