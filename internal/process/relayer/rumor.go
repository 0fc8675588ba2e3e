package relayer

import (
	"net/netip"
	"time"
)

// Topic tells what a rumor is about.
type Topic uint8

// The topics of rumors.
const (
	// Draining tells that a run of a target takes no new work: Place, Service,
	// Target and Start are set.
	Draining Topic = iota
	// Loss tells that a request was in flight on a target that broke: Place,
	// Service, Target, Start and Fingerprint are set.
	Loss
	// Load tells the calls per second that an instance takes for a service:
	// Place, Service, Instance and Rate are set. An empty Service is the
	// instance's own load, where Rate 1 is full. A later one replaces it.
	Load
	// Cleared tells that a request that was lost with a target has been answered
	// whole: Place, Service and Fingerprint are set.
	Cleared
	// Outage tells that an instance cannot reach the platform: Instance is set.
	Outage
	// Successor tells who answers for an incarnation that has ended by itself: Instance
	// and Fingerprint name that incarnation, Target and Start the one that answers.
	Successor
	topicCount
)

// topics holds the properties of each topic.
var topics = [topicCount]struct {
	name string
	// life is how long a rumor is passed on.
	life time.Duration
	// urgent rumors are pushed at each hop; others only travel on pings.
	urgent bool
}{
	// An instance that was paused for minutes has to hear which runs have left.
	Draining:  {"draining", 10 * time.Minute, true},
	Loss:      {"loss", time.Minute, true},
	Load:      {"load", LoadLife, false},
	Cleared:   {"cleared", time.Minute, true},
	Outage:    {"outage", 30 * time.Second, false},
	Successor: {"heir", 10 * time.Minute, true},
}

// LoadLife is how long a Load rumor holds; it is told anew before that.
const LoadLife = 90 * time.Second

// TTL returns how long a rumor of the topic is passed on.
func (t Topic) TTL() time.Duration {
	if t >= topicCount {
		return 0
	}
	return topics[t].life
}

// Age returns the time since the rumor was first told.
func (r *Rumor) Age() time.Duration { return max(r.Topic.TTL()-r.TTL, 0) }

// String returns the name of the topic.
func (t Topic) String() string {
	if t >= topicCount {
		return "other"
	}
	return topics[t].name
}

// Rumor is a small message that reaches every instance of its place once.
type Rumor struct {
	_msgpack struct{} `msgpack:",as_array"`

	// ID tells rumors apart; Spread sets it.
	ID    uint64
	Topic Topic
	// Place bounds the spread; the empty place is the whole fleet.
	Place   string
	Service string
	Target  netip.AddrPort
	// Start names the run of the target's process.
	Start       string
	Fingerprint uint64
	// Instance is the peer address of the instance that the load is about.
	Instance netip.AddrPort
	Rate     float64
	// TTL is the time until the rumor expires, counted down at each hop. Spread
	// sets it when it is 0.
	TTL time.Duration
}
