package rationer

import (
	"math"
	"time"
)

// Limits of the division.
const (
	// shortageWait is the share of its slack after whose wait a request shows that its kind
	// is short of room. The other half is left to find a slot.
	shortageWait = 0.5
	// shortageMemory is how long a kind counts as short of room after that. It is a few
	// times the usual objective.
	shortageMemory = time.Second
	// countHalfLife is the time after which the count of a request has halved.
	countHalfLife = 5 * time.Second
	// longestMemory is the least time for which the longest deadline of a kind is kept.
	longestMemory = 10 * time.Second
	// returnRatio is the share of the longest deadline of its kind below which a request's
	// deadline is that of a client that returns. Clients are told to wait for at most a
	// third of the time that they have left, after they have waited for their turn.
	returnRatio = 0.75
	// usualTolerance is the relative difference up to which a deadline is the usual one of its
	// kind. maxUsualVotes bounds how long the usual one stays after clients have changed it.
	usualTolerance = 0.005
	maxUsualVotes  = 50
	// reservedSlots is the number of free slots of a target that late and outranked
	// requests leave to others.
	reservedSlots = 1
	// minServedRatio is the least share of its requests that a kind may have started,
	// relative to that of all requests. Callers are owed a quarter; an instance sees only
	// a part of the requests, so it keeps twice that.
	minServedRatio = 0.5
	// agedInterval is the number of starts of which one may go to an aged request, a late or
	// outranked one that has waited for agedShare of the time that it can wait.
	agedInterval = 16
	agedShare    = 0.5
	// priorRequests is the number of requests and starts that are assumed of each kind, so
	// that a few requests in a row say little.
	priorRequests = 2
)

// Standing is the position of a request in the division.
type Standing int

// The standings of a request.
const (
	// Entitled means that the request may take any free slot.
	Entitled Standing = iota
	// Late means that the request can no longer meet its objective.
	Late
	// Outranked means that a more urgent kind is short of room.
	Outranked
)

// String returns the name of the standing in metrics.
func (s Standing) String() string { return [...]string{"entitled", "late", "outranked"}[s] }

// Reserve returns the number of free slots of a target with the given number of slots
// that a request leaves to others.
func (s Standing) Reserve(slots int) int {
	if s == Entitled || slots <= reservedSlots {
		return 0
	}
	return reservedSlots
}

// Request is what the division knows of a waiting request.
type Request struct {
	Kind string
	// Priority orders kinds; 0 is the most urgent.
	Priority int
	Arrived  time.Time
	// LatestStart is the last moment at which a start meets the objective.
	LatestStart time.Time
	// LastStart is the last moment at which a start meets the deadline.
	LastStart time.Time
	// ReturnsLate means that the client probably returns after a rejection, with much less time
	// than others have (see Arrive).
	ReturnsLate bool
}

// Rationer divides the room of one service. It is not safe for concurrent use.
type Rationer struct {
	kinds map[string]*usage
	total usage
	// lastShort is when a request of a priority last waited for shortageWait of its slack.
	lastShort map[int]time.Time
	// startsSinceAged counts the starts since the last start of an aged request.
	startsSinceAged int
}

// usage counts the requests of a kind. The counts decay by countHalfLife.
type usage struct {
	// countedAt is the time of the counts.
	countedAt        time.Time
	arrived, started float64
	// longest is the longest deadline since longestSince, and previous that of the period
	// before.
	longest, previous time.Duration
	longestSince      time.Time
	// usual is the deadline that most requests have, by majority vote.
	usual      time.Duration
	usualVotes int
}

// New returns a rationer that knows no requests.
func New() *Rationer { return &Rationer{kinds: map[string]*usage{}, lastShort: map[int]time.Time{}} }

// Arrive records the arrival of a request that its client waits for as long as patience.
// It reports whether the client probably returns after a rejection, by the time that it has
// left: less than the clients of the kind usually have, and much less than others have.
func (r *Rationer) Arrive(kind string, patience time.Duration, now time.Time) (returned, returnsLate bool) {
	u := r.kinds[kind]
	if u == nil {
		u = &usage{longestSince: now}
		r.kinds[kind] = u
	}
	u.count(1, 0, now)
	r.total.count(1, 0, now)
	if now.Sub(u.longestSince) > longestMemory {
		u.previous, u.longest, u.longestSince = u.longest, 0, now
	}
	u.longest = max(u.longest, patience)
	u.vote(patience)
	returned = float64(patience) < (1-usualTolerance)*float64(u.usual)
	return returned, float64(patience) < returnRatio*float64(max(u.longest, u.previous))
}

// vote counts a deadline in the vote on the usual one.
func (u *usage) vote(patience time.Duration) {
	difference := float64((patience - u.usual).Abs())
	switch {
	case difference <= usualTolerance*float64(u.usual):
		u.usualVotes = min(u.usualVotes+1, maxUsualVotes)
	case u.usualVotes > 0:
		u.usualVotes--
	default:
		u.usual, u.usualVotes = patience, 1
	}
}

// Start records the start of a request.
func (r *Rationer) Start(q Request, now time.Time) {
	if u := r.kinds[q.Kind]; u != nil {
		u.count(0, 1, now)
		r.total.count(0, 1, now)
	}
	if r.startsSinceAged++; q.aged(now) {
		r.startsSinceAged = 0
	}
}

// aged reports whether a request has waited for agedShare of the time that it can wait.
func (q *Request) aged(now time.Time) bool {
	return now.Sub(q.Arrived) >= time.Duration(agedShare*float64(q.LastStart.Sub(q.Arrived)))
}

// Wait records that a request waits.
func (r *Rationer) Wait(q Request, now time.Time) {
	slack := q.LatestStart.Sub(q.Arrived)
	if now.Sub(q.Arrived) > time.Duration(shortageWait*float64(slack)) {
		r.lastShort[q.Priority] = now
	}
}

// Standing returns the standing of a waiting request.
func (r *Rationer) Standing(q Request, now time.Time) Standing {
	late := now.After(q.LatestStart) || q.ReturnsLate && r.short(q.Priority, now)
	switch {
	case !late && !r.short(q.Priority-1, now), r.starves(q.Kind, now):
		return Entitled
	case q.aged(now) && r.startsSinceAged >= agedInterval:
		return Entitled
	case late:
		return Late
	}
	return Outranked
}

// short reports whether a kind of this priority, or of a more urgent one, is short of room.
func (r *Rationer) short(priority int, now time.Time) bool {
	for p, at := range r.lastShort {
		if p <= priority && now.Sub(at) <= shortageMemory {
			return true
		}
	}
	return false
}

// starves reports whether fewer of a kind's requests start than minServedRatio allows.
func (r *Rationer) starves(kind string, now time.Time) bool {
	u := r.kinds[kind]
	return u != nil && u.startedShare(now) < minServedRatio*r.total.startedShare(now)
}

// startedShare returns the share of the requests that have started.
func (u *usage) startedShare(now time.Time) float64 {
	u.count(0, 0, now)
	return (u.started + priorRequests) / (u.arrived + priorRequests)
}

// count adds to the decayed counts.
func (u *usage) count(arrived, started float64, now time.Time) {
	if !u.countedAt.IsZero() {
		decay := math.Exp2(-max(now.Sub(u.countedAt).Seconds(), 0) / countHalfLife.Seconds())
		u.arrived *= decay
		u.started *= decay
	}
	u.arrived += arrived
	u.started += started
	u.countedAt = now
}
