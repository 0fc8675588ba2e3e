package relayer

import (
	"net/netip"
	"time"
)

// Topic is the subject of a rumor.
type Topic uint8

// The topics of rumors. The comments list the fields that package assembler sets.
// Package composer leaves Place empty, so that its rumors reach the whole fleet, and
// sets only Start in Draining rumors.
const (
	// Draining says that a run of a target takes no new work. Place, Service, Target
	// and Start are set.
	Draining Topic = iota
	// Loss says that a request was in flight at a run of a target when the run failed.
	// Place, Service, Target, Start and Fingerprint are set.
	Loss
	// Load says how many calls per second an instance takes for a service. Place,
	// Service, Instance and Rate are set. If Service is empty, Rate is the instance's
	// own load, where 1 is full load. A later rumor replaces an earlier one of the same
	// instance, place and service.
	Load
	// Cleared says that a request that was lost with a target has since received a
	// complete response. Place, Service and Fingerprint are set.
	Cleared
	// Outage says that an instance cannot reach the platform. Instance is set.
	Outage
	// Successor names an incarnation that responds to operations in place of one that
	// has ended in an orderly shutdown. Instance is the peer address of the ended
	// incarnation and Fingerprint its number. Target is the peer address of the
	// successor and Start its incarnation in hexadecimal.
	Successor
	// Limit says how many requests per second a run of a target takes from all instances
	// together. Service, Start and Rate are set; the Rate of a run without a limit is
	// infinite. A later rumor replaces an earlier one of the same run.
	Limit
	topicCount
)

// topics holds the properties of each topic.
var topics = [topicCount]struct {
	// name is written to logs and must not change, even where it differs from the
	// constant.
	name string
	// ttl is how long a rumor is passed on.
	ttl time.Duration
	// urgent rumors are pushed at each hop. Others are only sent with pings.
	urgent bool
	// gathered rumors are pushed together, at most once per gatherInterval. Under
	// overload, targets lose hundreds of requests in a second, or hundreds of targets are
	// replaced. A message for each at each hop would use up the processors of the fleet.
	gathered bool
}{
	// An instance that was paused for minutes must still learn which runs are draining.
	Draining:  {name: "draining", ttl: 10 * time.Minute, urgent: true, gathered: true},
	Loss:      {name: "loss", ttl: time.Minute, urgent: true, gathered: true},
	Load:      {name: "load", ttl: LoadTTL},
	Cleared:   {name: "cleared", ttl: time.Minute, urgent: true, gathered: true},
	Outage:    {name: "outage", ttl: 30 * time.Second},
	Successor: {name: "heir", ttl: 10 * time.Minute, urgent: true},
	Limit:     {name: "limit", ttl: 10 * time.Minute, urgent: true, gathered: true},
}

// LoadTTL is how long a Load rumor is valid. The instance spreads its load again
// before that.
const LoadTTL = 90 * time.Second

// TTL returns how long a rumor of the topic is passed on.
func (t Topic) TTL() time.Duration {
	if t >= topicCount {
		return 0
	}
	return topics[t].ttl
}

// Age returns the time since the rumor originated.
func (r *Rumor) Age() time.Duration { return max(r.Topic.TTL()-r.TTL, 0) }

// String returns the name of the topic.
func (t Topic) String() string {
	if t >= topicCount {
		return "other"
	}
	return topics[t].name
}

// Rumor is a small message that is delivered once to every instance of its place, or
// of the fleet if Place is empty.
type Rumor struct {
	_msgpack struct{} `msgpack:",as_array"`

	// ID identifies the rumor. Spread sets it.
	ID    uint64
	Topic Topic
	// Place is the place in which the rumor spreads. If it is empty, the rumor spreads
	// in the whole fleet.
	Place   string
	Service string
	Target  netip.AddrPort
	// Start identifies the run of the target's process.
	Start       string
	Fingerprint uint64
	// Instance is the peer address of the instance that the rumor is about.
	Instance netip.AddrPort
	Rate     float64
	// TTL is the time until the rumor expires, reduced at each hop. If it is 0, Spread
	// sets it to the TTL of the topic.
	TTL time.Duration
}
