package placer

import "time"

// Ticket represents a request to place.
type Ticket struct {
	// Kind names the kind of request. Requests of a kind take about the same time.
	Kind string
	// Priority orders waiting requests; 0 is the most urgent.
	Priority int
	// Arrived is when the request arrived.
	Arrived time.Time
	// ObjectiveTime is the latest time at which a response meets the latency objective.
	ObjectiveTime time.Time
	// Deadline is when the request is given up. Placer.StopAt may set an earlier one.
	Deadline time.Time
	// Patience is the time for which the client waits, from Arrived.
	Patience time.Duration
	// NonIdempotent means that the request must not run twice. It goes to a target
	// without a recent failure if enough targets have none.
	NonIdempotent bool
	// Hedge means that the request is a copy of a request that still runs. It waits
	// only for outstanding probes and searches, and is rejected if they find no free
	// slot.
	Hedge bool
	// Avoid holds the identifiers of the targets that the request was sent to.
	Avoid []string
	// LatencyObjective is the length of the kind's latency objective. The kind's work
	// time is estimated from it until a request has been measured.
	LatencyObjective time.Duration

	// Returned means that the client has probably been rejected before. Submit sets it for a
	// request that was sent to no target yet.
	Returned bool

	// rounds counts the rounds of probes since the request arrived.
	rounds int
	// returnsLate means that the client returns with much less time than others have.
	returnsLate bool
	// deferred means that the request has left a free slot to others.
	deferred bool
	// endsWithStop means that Deadline is the end of the instance's stop.
	endsWithStop bool
	// slowdown is the target's slowdown at the time of the grant; 0 means not granted.
	slowdown float64
}

// Grant is the decision to send a request to a target.
type Grant struct {
	Ticket *Ticket
	Target Target
	// Expected is the expected duration of the request at the target.
	Expected time.Duration
	// ReportAge is the age of the load report that the choice used.
	ReportAge time.Duration
	// ActiveRequests is the estimated number of requests at the target before this one.
	ActiveRequests int
	// MissesObjective means that the request can no longer meet its objective.
	MissesObjective bool
	// Remote means that the target is in a remote zone.
	Remote bool
}

// Rejection is the decision to reject a request.
type Rejection struct {
	Ticket *Ticket
	// RetryAfter is how long the client should wait before it retries.
	RetryAfter time.Duration
	Reason     Reason
}

// Reason is the reason why a request was rejected.
type Reason int

// The reasons of a rejection.
const (
	// NoTarget means that the service has no usable target.
	NoTarget Reason = iota
	// DeadlineUnreachable means that no start can meet the deadline any more.
	DeadlineUnreachable
	// WaitTooLong means that the requests ahead take longer to start than the request
	// can wait.
	WaitTooLong
	// NoFreeSlot means that no target has a free slot for a hedged request.
	NoFreeSlot
	// Limited means that the limits of the targets that are left allow no request in time.
	Limited
	// CutOff means that this instance can reach no target.
	CutOff
	// Stopping means that this instance stops before the request could end.
	Stopping
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{"targetless", "overdue", "crowded", "roomless", "limited", "cut", "stopping"}[r]
}

// Actions holds what the caller of Step has to do.
type Actions struct {
	Grants     []Grant
	Rejections []Rejection
	// Deferrals holds the requests that have now left a free slot to others for the first
	// time, because the service is short of room.
	Deferrals []Deferral
	// Probes holds the targets to probe for their load.
	Probes []Target
	// SearchZones holds the remote zones in which to ask an instance for targets with
	// a free slot.
	SearchZones []string
	// NextStep is when to call Step again if no event occurs before; zero means never.
	NextStep time.Time
}
