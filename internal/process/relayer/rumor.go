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
)

// String returns the name of the topic.
func (t Topic) String() string {
	return [...]string{"draining", "loss", "load"}[t]
}

// Rumor is a small message that reaches every instance once.
type Rumor struct {
	_msgpack struct{} `msgpack:",as_array"`

	// ID tells rumors apart; Spread sets it.
	ID    uint64
	Topic Topic
	Place string
	// Service is the service that the rumor is about.
	Service string
	Target  netip.AddrPort
	// Start names the run of the target's process.
	Start       string
	Fingerprint uint64
	// Instance is the peer address of the instance that the load is about.
	Instance netip.AddrPort
	Rate     float64
	// Left is the time until the rumor expires, counted down at each hop.
	Left time.Duration
}
