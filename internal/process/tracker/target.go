package tracker

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// State is the state of one run of a target's process.
type State int

// The states of a run.
const (
	Ready State = iota
	// Warming runs take work and are not yet at full speed.
	Warming
	// Draining runs get no new work. No run leaves this state.
	Draining
)

var stateNames = map[State]string{Ready: "ready", Warming: "warming", Draining: "draining"}

// MarshalText writes the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads what MarshalText has written.
func (s *State) UnmarshalText(text []byte) error {
	*s = ParseState(string(text))
	return nil
}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// ParseState reads the value of the Target-State header. A target that sheds
// load is ready; an unknown or missing value says nothing and counts as ready.
func ParseState(text string) State {
	switch text {
	case "warming":
		return Warming
	case "draining":
		return Draining
	}
	return Ready
}

// Service names a service at a place.
type Service struct{ Place, Service string }

// Key names a target of a service.
type Key struct {
	Place, Service string
	Address        netip.AddrPort
}

// Target is a target as a request sees it.
type Target struct {
	Address netip.AddrPort
	Zone    string
	// Start names the run; it is empty until someone has told it.
	Start string
	State State
	// Since is when the run was first seen, zero when it was in the first list
	// that this instance read and may have been running for long.
	Since time.Time
	// Suspected means that a run that is unknown here was said to be leaving. The
	// target gets no new work until it has answered a probe or a request.
	Suspected bool
	// LastAnswered is when the newest request was sent that the target has answered,
	// zero if none.
	LastAnswered time.Time
}

// Observation is what a target itself said, in an answer or at its health endpoint.
type Observation struct {
	Key Key
	// Start and State are the values that the target gave; Start may be empty.
	Start string
	State State
	// Sent is when the request was sent. A run that was not known before is
	// believed only if the request was sent after the present run was first seen.
	Sent time.Time
}

// Rumor tells peers that a run is leaving.
type Rumor struct {
	Key   Key
	Start string
	// Age is the time since the first sign at the instance that tells.
	Age time.Duration
}

// The times of the tracker.
const (
	// Grace is how long a target that the list omits stays usable, so that one
	// faulty revision does not move the load.
	Grace = 2 * time.Second
	// Doubt is how long after its last answer a target stays usable when the list
	// omits most of the targets of its service at once.
	Doubt = time.Minute
	// Settle is how long after the last sign the list may lag. After it the list
	// is believed about a run that nobody has met, and a suspicion ends.
	Settle = time.Minute
	// Forget is how long an unlisted target is remembered.
	Forget = time.Hour
)

const (
	// maxLeft is the number of ended runs remembered for one address.
	maxLeft = 32
	// maxUnlisted bounds the targets that are known by rumor only.
	maxUnlisted = 1024
)

// entry is what is known about one target. It is guarded by the tracker's mutex
// except for heard.
type entry struct {
	key   Key
	zone  string
	start string
	state State
	// since is when the present run was first seen; zero when at the first list.
	since time.Time
	// seen is when the present run was first heard of.
	seen time.Time
	// signed is when the run was first said to be leaving.
	signed time.Time
	// met means that the run itself or a peer has told of it, not only the list.
	met bool
	// word is the start that the list named last.
	word string
	// listed is false once the list omits the target, from omitted on.
	listed  bool
	omitted time.Time
	// mass means that most of the service's targets were omitted at once.
	mass bool
	// suspected is when a run that is unknown here was said to be leaving.
	suspected time.Time
	// warned is the latest sign that a run other than the present one is leaving.
	warned time.Time
	// left holds runs that have ended or are leaving, the oldest first. The
	// present run is never in it.
	left []string
	// heard is the Unix time in nanoseconds at which the newest request was sent
	// that the target has answered; it only grows. Snapshots share it.
	heard *atomic.Int64
}

func newEntry(k Key, now time.Time) *entry {
	return &entry{key: k, seen: now, heard: new(atomic.Int64)}
}

func (e *entry) hasLeft(start string) bool {
	for _, s := range e.left {
		if s == start {
			return true
		}
	}
	return false
}

func (e *entry) leave(start string) {
	if start == "" || e.hasLeft(start) {
		return
	}
	e.left = append(e.left, start)
	if len(e.left) > maxLeft {
		e.left = e.left[1:]
	}
}

// warn takes in a sign that a run which nobody here has met is leaving. It may
// have come before or after the present one. It can never become usable, and the
// target is suspected unless it has answered what was sent after the sign.
func (e *entry) warn(start string, sign time.Time) {
	e.leave(start)
	e.warned = latest(e.warned, sign)
	if e.heard.Load() < sign.UnixNano() {
		e.suspected = latest(e.suspected, sign)
	}
}

// begin puts a new run in the place of the present one. Only a run that was met
// ends a suspicion.
func (e *entry) begin(start string, state State, met bool, now time.Time) {
	e.leave(e.start)
	e.start, e.state, e.met = start, Ready, met
	e.since, e.seen = now, now
	e.signed = time.Time{}
	if met {
		e.suspected = time.Time{}
	}
	e.set(state, now)
}

// set changes the state of the present run and reports whether it began to drain.
func (e *entry) set(state State, now time.Time) bool {
	if e.state == Draining {
		return false
	}
	e.state = state
	if state != Draining {
		return false
	}
	e.signed = now
	return true
}

// hear raises the time to which a target is known to have answered.
func hear(heard *atomic.Int64, sent time.Time) {
	n := sent.UnixNano()
	for old := heard.Load(); old < n; old = heard.Load() {
		if heard.CompareAndSwap(old, n) {
			return
		}
	}
}
