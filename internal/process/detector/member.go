package detector

import (
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// State is the state of a member in the view of one instance.
type State uint8

// The states of a member.
const (
	// Alive members ack pings.
	Alive State = iota
	// Suspect members did not ack a ping in time and can still refute the suspicion.
	Suspect
	// Failed members can't be reached; they may recover.
	Failed
	// Ended incarnations never run again.
	Ended
)

// String returns the name of the state, "other" for an unknown one.
func (s State) String() string {
	if s > Ended {
		return "other"
	}
	return [...]string{"alive", "suspect", "failed", "ended"}[s]
}

// Member is one incarnation of an instance.
type Member struct {
	_msgpack struct{} `msgpack:",as_array"`

	Instance lister.Instance
	// Incarnation is a random number drawn at each start of the process, never 0.
	Incarnation uint64
	// Revision orders the statements about one incarnation; only the incarnation
	// itself raises it.
	Revision uint64
	State    State
	// Leaving is set by the member itself, before it ends, and never cleared.
	Leaving bool
	// CutOff is set by the member itself while it cannot reach any target. The statement
	// with the highest revision counts.
	CutOff bool
}

// Serves reports whether the member can be expected to serve requests.
func (m Member) Serves() bool { return m.State == Alive && !m.Leaving && !m.CutOff }

// Usable reports whether callers may be told to use the member.
func (m Member) Usable() bool { return m.State <= Suspect && !m.Leaving }

// identity identifies one incarnation.
type identity struct {
	peer        netip.AddrPort
	incarnation uint64
}

func (m Member) identity() identity {
	return identity{peer: m.Instance.Peer, incarnation: m.Incarnation}
}

// Change is one change of the view, for logs and for users of the membership.
type Change struct {
	Member Member
	// Before is the state before the change. It equals Member.State when only Leaving or
	// CutOff changed or when New is set.
	Before State
	// New is set for an incarnation that has just been added.
	New bool
}

// Options configures a detector.
type Options struct {
	// Self is the instance's own member; its State is Alive.
	Self Member
	// Seeds holds addresses to try whenever no member is known there.
	Seeds []netip.AddrPort
	// Period is the protocol period: the time between regular pings.
	Period time.Duration
	// PingTimeout is the time to wait for an ack before helpers are asked; it is
	// shorter than Period.
	PingTimeout time.Duration
	// SuspicionTimeout is the time after which a suspect that hasn't refuted fails.
	SuspicionTimeout time.Duration
	// RemotePingPeriods is the number of periods between regular pings to other
	// places; 0 is DefaultRemotePingPeriods.
	RemotePingPeriods uint64
	// ForgetAfter is the time for which failed and ended incarnations are kept.
	ForgetAfter time.Duration
	// Random drives the order of pings, the choice of helpers and candidates, and the
	// first sequence number. A fixed seed makes a test repeatable.
	Random func() uint64
}

// The defaults of Options.
const (
	DefaultPeriod           = 500 * time.Millisecond
	DefaultPingTimeout      = 200 * time.Millisecond
	DefaultSuspicionTimeout = 4 * time.Second
	// DefaultForgetAfter is longer than a partition of an hour. After such a partition
	// instances find each other again by their pings to failed members.
	DefaultForgetAfter       = 2 * time.Hour
	DefaultRemotePingPeriods = 5
)
