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
	// AtMostOnce marks a kind that runs at most once.
	AtMostOnce bool
	// Deadline bounds a request from its arrival to its answer.
	Deadline time.Duration
	// MaxWait bounds the time a request may spend queued.
	MaxWait time.Duration
	// Queue is the number of requests that may wait per service and instance.
	Queue int
	// RetryRatio is the greatest ratio of retries to first tries, 0 to 1.
	RetryRatio float64
	// HedgeDelay is the delay before a second try of an idempotent request; 0 turns it off.
	HedgeDelay time.Duration
	// HedgeRatio is the greatest ratio of second tries to first tries, 0 to 1.
	HedgeRatio float64
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
	// ProbeWindow is the period over which Probes is counted.
	ProbeWindow time.Duration
	// ProbeTimeout bounds one probe and the dialing of one connection.
	ProbeTimeout time.Duration
	// MinHomes is the least number of instances named in an answer.
	MinHomes int
	// HomeRate is the load in calls per second that one home is sized for.
	HomeRate float64
	// HomesTTL is how long a caller may keep an answer.
	HomesTTL time.Duration
	// Ramp is the time over which a started target reaches its full share.
	Ramp time.Duration
	// Failures is the number of consecutive failures after which a target is ejected.
	Failures int
	// EjectionTime is the time for which a failing target is ejected.
	EjectionTime time.Duration
	// MaxBodyBytes is the largest request or answer in bytes.
	MaxBodyBytes int64
	// EpochDuration is the time for which an executor accepts new operations of one epoch.
	EpochDuration time.Duration
	// OutcomeRetention is how long an executor keeps outcomes after an epoch has closed.
	OutcomeRetention time.Duration
	// TailWeight is the weight of tail latency, 0 to 10.
	TailWeight int
	// CostWeight is the weight of the cost of measuring, 0 to 10.
	CostWeight int
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
