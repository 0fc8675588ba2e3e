package detector

import (
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// State is what an instance believes of a member.
type State uint8

// The states of a member.
const (
	// Alive members answer.
	Alive State = iota
	// Suspect members did not answer and may still refute it.
	Suspect
	// Failed members are out of reach; they may come back.
	Failed
	// Ended incarnations never come back.
	Ended
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "failed", "ended"}[s]
}

// Member is one incarnation of an instance.
type Member struct {
	_msgpack struct{} `msgpack:",as_array"`

	Instance lister.Instance
	// Incarnation is drawn at random at each start; 0 is never used.
	Incarnation uint64
	// Revision orders what is said of one incarnation; only the incarnation itself raises it.
	Revision uint64
	State    State
	// Leaving is set by the member itself and never taken back.
	Leaving bool
}

// Usable reports whether callers may be sent to the member.
func (m Member) Usable() bool { return m.State <= Suspect && !m.Leaving }

// identity names one incarnation.
type identity struct {
	peer        netip.AddrPort
	incarnation uint64
}

func (m Member) identity() identity {
	return identity{peer: m.Instance.Peer, incarnation: m.Incarnation}
}

// Change is one change of belief, for logs and for the parts that use the membership.
type Change struct {
	Member Member
	// Before is the state before the change; it equals Member.State when only
	// Leaving changed or when New is set.
	Before State
	// New is set when the incarnation was not known.
	New bool
}

// Options holds the fixed properties of a detector.
type Options struct {
	// Self is the instance's own member; its State is Alive.
	Self Member
	// Seeds are always candidates.
	Seeds []netip.AddrPort
	// Period is the time between pings.
	Period time.Duration
	// PingTimeout is the time to wait for an answer before helpers are asked; it is
	// shorter than Period.
	PingTimeout time.Duration
	// SuspicionTimeout is the time that a suspect has to refute.
	SuspicionTimeout time.Duration
	// RemotePingPeriods is the number of periods between pings to other places; 0 is
	// DefaultRemote.
	RemotePingPeriods uint64
	// ForgetAfter is how long failed and ended incarnations are remembered.
	ForgetAfter time.Duration
	// Random drives the order of pings and the choice of helpers; a fixed seed
	// makes a session repeatable.
	Random func() uint64
}

// The defaults of Options.
const (
	DefaultPeriod            = 500 * time.Millisecond
	DefaultPingTimeout       = 200 * time.Millisecond
	DefaultSuspicionTimeout  = 4 * time.Second
	DefaultForgetAfter       = 2 * time.Hour
	DefaultRemotePingPeriods = 5
)
