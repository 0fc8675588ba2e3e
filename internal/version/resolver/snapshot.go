package resolver

import "time"

// Priority orders waiting requests.
type Priority int

// The priorities, the most urgent first.
const (
	Urgent Priority = iota
	Normal
	Queued
)

// Policy holds the effective settings of one place, service and kind.
type Policy struct {
	Place, Service, Kind string

	// Priority orders requests that wait for room.
	Priority Priority
	// Once marks a kind that runs at most once.
	Once bool
	// Deadline bounds a request from its arrival to its answer.
	Deadline time.Duration
	// Wait bounds the time a request may spend queued.
	Wait time.Duration
	// Queue is the number of requests that may wait per service and instance.
	Queue int
	// Retries is the greatest ratio of retries to first tries, 0 to 1.
	Retries float64
	// Hedge is the delay before a second try of an idempotent request; 0 turns it off.
	Hedge time.Duration
	// Ratio is the greatest ratio of second tries to first tries, 0 to 1.
	Ratio float64
	// Slots is the number of requests that one target runs at a time.
	Slots int
	// Spare is the number of requests outstanding at a target beyond its slots.
	Spare int
	// Connections is the number of connections per target over the whole fleet.
	Connections int
	// Fleet is the largest number of instances that may live at once.
	Fleet int
	// Probes is the number of probes the whole fleet may send to the targets of
	// the service within Window.
	Probes int
	// Window is the period over which Probes is counted.
	Window time.Duration
	// Timeout bounds one probe and the dialing of one connection.
	Timeout time.Duration
	// Homes is the least number of instances named in an answer.
	Homes int
	// Rate is the load in calls per second that one home is sized for.
	Rate float64
	// Keep is how long a caller may keep an answer.
	Keep time.Duration
	// Ramp is the time over which a started target reaches its full share.
	Ramp time.Duration
	// Failures is the number of consecutive failures after which a target is ejected.
	Failures int
	// Eject is the time for which a failing target is ejected.
	Eject time.Duration
	// Body is the largest request or answer in bytes.
	Body int64
	// Epoch is the time for which an executor accepts new operations of one epoch.
	Epoch time.Duration
	// Forget is how long an executor keeps outcomes after an epoch has closed.
	Forget time.Duration
	// Tail is the weight of tail latency, 0 to 10.
	Tail int
	// Cost is the weight of the cost of measuring, 0 to 10.
	Cost int
}

// Key names one request kind.
type Key struct{ Place, Service, Kind string }

// Snapshot is one accepted version of the settings tree. It is never modified.
type Snapshot struct {
	// Version orders trees; Digest breaks a tie between trees of one version.
	Version uint64
	Digest  uint64
	// Text is the published document.
	Text []byte
	// Policies holds every kind of the tree.
	Policies map[Key]*Policy
	// Services holds the settings of a service without a kind; Kind is empty.
	Services map[Key]*Policy
}

// Policy returns the settings of a kind, or nil when the tree has none.
func (s *Snapshot) Policy(place, service, kind string) *Policy {
	return s.Policies[Key{Place: place, Service: service, Kind: kind}]
}

// Service returns the settings of a service, or nil when the tree has none.
func (s *Snapshot) Service(place, service string) *Policy {
	return s.Services[Key{Place: place, Service: service}]
}
