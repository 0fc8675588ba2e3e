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

// Policy holds the effective settings of one kind, or of one service when Kind is
// empty. The file docs/SETTINGS.md explains each setting.
type Policy struct {
	Place, Service, Kind string

	// Priority orders requests that wait for a free slot.
	Priority Priority
	// AtMostOnce is set for a kind whose requests must run at most once.
	AtMostOnce bool
	// Deadline is the longest time from the arrival of a request to its response.
	Deadline time.Duration
	// MaxWait is the longest time that a request may spend in the queue; 0 means
	// until its deadline.
	MaxWait time.Duration
	// Queue is the number of requests that may wait per service and instance.
	Queue int
	// RetryRatio is the maximum ratio of retries to first attempts, 0 to 1.
	RetryRatio float64
	// HedgeDelay is the time after which an idempotent request is also sent to a
	// second target; 0 turns hedged requests off.
	HedgeDelay time.Duration
	// HedgeRatio is the maximum ratio of hedged requests to first attempts, 0 to 0.25.
	HedgeRatio float64
	// Slots is the number of requests that one target runs at the same time.
	Slots int
	// Spare is the number of requests outstanding at a target beyond its slots.
	Spare int
	// Connections is the number of connections per target over the whole fleet.
	Connections int
	// Fleet is the largest number of instances that may run at the same time.
	Fleet int
	// Probes is the number of probes that the whole fleet may send to the targets
	// of the service within ProbeWindow.
	Probes int
	// ProbeWindow is the period over which probes are counted.
	ProbeWindow time.Duration
	// ProbeTimeout is the time that the probe budget allows for one probe. A probe that
	// takes longer is not canceled.
	ProbeTimeout time.Duration
	// MinHomes is the number of instances that a caller is told to use: homes first, then
	// backups. It is raised to 2 when the usable instances are in several zones.
	MinHomes int
	// HomeRate is the load that one home is sized for, in calls per second.
	HomeRate float64
	// HomesTTL is how long a caller may use the instances that it was told to use.
	HomesTTL time.Duration
	// Ramp is the time over which the share of a newly started target rises to its
	// full share of the requests.
	Ramp time.Duration
	// Failures is the number of consecutive failures after which a target is ejected.
	Failures int
	// EjectionTime is the time for which a failing target is ejected.
	EjectionTime time.Duration
	// MaxBodyBytes is the largest body of a request or response.
	MaxBodyBytes int64
	// EpochDuration is the time for which an executor issues tokens of one epoch. The
	// epoch then accepts new operations for HomesTTL longer.
	EpochDuration time.Duration
	// OutcomeRetention is how long an executor keeps outcomes after their epoch has
	// closed.
	OutcomeRetention time.Duration
	// TailWeight is the weight of tail latency, 0 to 10.
	TailWeight int
	// CostWeight is the weight of the cost of probes, 0 to 10.
	CostWeight int
}

// Key identifies a request kind, or a service when Kind is empty.
type Key struct{ Place, Service, Kind string }

// Snapshot is one accepted version of the settings tree. It is never modified.
type Snapshot struct {
	// Version orders trees: a higher version is newer. Digest orders trees of the
	// same version.
	Version uint64
	Digest  uint64
	// Text is the published document from which the snapshot was computed.
	Text []byte
	// Policies holds the settings of every kind of the tree.
	Policies map[Key]*Policy
	// Services holds the settings of every service of the tree; Kind is empty.
	Services map[Key]*Policy
}

// Policy returns the settings of a kind, or nil when the tree has no such kind.
func (s *Snapshot) Policy(place, service, kind string) *Policy {
	return s.Policies[Key{Place: place, Service: service, Kind: kind}]
}

// Service returns the settings of a service, or nil when the tree has no such
// service.
func (s *Snapshot) Service(place, service string) *Policy {
	return s.Services[Key{Place: place, Service: service}]
}
