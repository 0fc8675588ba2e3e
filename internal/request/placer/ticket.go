package placer

import "time"

// Ticket is one request that wants to start at a target.
type Ticket struct {
	// Kind names the kind of request; requests of a kind take about the same time.
	Kind string
	// Priority is the rank under load; 0 is the most urgent.
	Priority int
	// Arrived is when the request came.
	Arrived time.Time
	// ObjectiveTime is the latest time at which an answer meets the latency objective.
	ObjectiveTime time.Time
	// Deadline is when the request is given up.
	Deadline time.Time
	// NonIdempotent requests must not run twice: they get the targets that failed least.
	NonIdempotent bool
	// Hedge is a second try beside one that still runs; it starts into free room
	// at once or not at all.
	Hedge bool
	// Avoid names the targets that the request has been sent to.
	Avoid []string
	// LatencyObjective is the usual length of the latency objective, from which the time of
	// work is guessed until it has been measured.
	LatencyObjective time.Duration

	// tried counts the rounds of probes since the request came.
	tried int
	// factor is what the grant was based on.
	factor float64
}

// Grant tells to send a request to a target.
type Grant struct {
	Ticket *Ticket
	Target Target
	// Expected is how long the request should take there.
	Expected time.Duration
	// ReportAge is the age of the report that the choice rests on.
	ReportAge time.Duration
	// ActiveRequests is the number of requests believed to be at the target before this one.
	ActiveRequests int
	// MissesObjective means that the objective cannot be met any more.
	MissesObjective bool
	// Remote means that the target is in another availability zone.
	Remote bool
}

// Rejection tells to turn a request away.
type Rejection struct {
	Ticket *Ticket
	// RetryAfter is the time after which the client should come back.
	RetryAfter time.Duration
	// Reason tells why.
	Reason Reason
}

// Reason tells why a request was refused.
type Reason int

// The reasons of a refusal.
const (
	// NoTarget: the service has no target to use.
	NoTarget Reason = iota
	// DeadlineUnreachable: no start can be in time any more.
	DeadlineUnreachable
	// WaitTooLong: those who wait before it take longer than the request has.
	WaitTooLong
	// NoFreeSlot: there is no free room for a second try.
	NoFreeSlot
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{"targetless", "overdue", "crowded", "roomless"}[r]
}

// Actions is what a step leads to.
type Actions struct {
	Grants     []Grant
	Rejections []Rejection
	// Probes are targets to ask for their load.
	Probes []Target
	// SearchZones are other zones in which an instance is asked for room.
	SearchZones []string
	// NextStep is when the next step is due without any event; zero is never.
	NextStep time.Time
}
