package tracker

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// State is the state of a run.
type State int

// The states of a run.
const (
	// Ready runs take work at full speed.
	Ready State = iota
	// Warming runs take work but are not yet at full speed.
	Warming
	// Draining runs are leaving and get no new work. This state is final.
	Draining
)

var stateNames = map[State]string{Ready: "ready", Warming: "warming", Draining: "draining"}

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the output of MarshalText.
func (s *State) UnmarshalText(text []byte) error {
	*s = ParseState(string(text))
	return nil
}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// ParseState parses the value of the Target-State header. Every value other than
// "warming" and "draining" counts as ready, including a missing or unknown one, and
// the value of a target that sheds load.
func ParseState(text string) State {
	switch text {
	case "warming":
		return Warming
	case "draining":
		return Draining
	}
	return Ready
}

// Service identifies a service of a place.
type Service struct{ Place, Service string }

// Key identifies a target of a service.
type Key struct {
	Place, Service string
	Address        netip.AddrPort
}

// Target is the state of a target as requests see it.
type Target struct {
	Address netip.AddrPort
	Zone    string
	// Start is the id of the current run. It is empty until a source reports it.
	Start string
	State State
	// Since is when the run was first seen. It is zero if the run was in the first
	// list that this instance read, or if a peer was the first to report the target,
	// because the run may have been running for long.
	Since time.Time
	// Suspected means that a run other than the current one was reported as leaving.
	// The target gets no new work until it has answered a probe or a request that was
	// sent after that report, or until MaxListLag has passed.
	Suspected bool
	// LastAnswered is when the newest request was sent that the target has answered.
	// It is zero if there is none.
	LastAnswered time.Time `json:"Heard"`
}

// Observation is what a target reported in a response or at its health endpoint.
type Observation struct {
	Key Key
	// Start and State are the values that the target reported. Start may be empty.
	Start string
	State State
	// Sent is when the request was sent. An observation of a run that was not known
	// before is applied only if the request was sent neither before the current run was
	// first reported nor before the latest report that another run is leaving.
	Sent time.Time
}

// Rumor reports to peers that a run is leaving.
type Rumor struct {
	Key   Key
	Start string
	// Age is the time since the run was first reported as leaving at the instance that
	// sends the rumor.
	Age time.Duration
}

// The durations of the tracker.
const (
	// OmissionGrace is how long a target that the list omits stays usable, so that one
	// faulty revision does not move the load.
	OmissionGrace = 2 * time.Second
	// MassOmissionGrace is how long a target stays usable if the list omits most of the
	// targets of its service at once. It starts when the list omitted the target, or
	// when the last request was sent that the target answered, whichever is later.
	MassOmissionGrace = time.Minute
	// MaxListLag is how long the list may lag after a run was first reported as leaving.
	// After it, the list may replace that run by one that no other source has reported.
	// A suspicion keeps a target from new work for this long after the latest report
	// that caused it.
	MaxListLag = time.Minute
	// ForgetAfter is how long an unlisted target is remembered. It starts when the list
	// omitted the target, when its current run was first reported or when that run was
	// first reported as leaving, whichever is latest.
	ForgetAfter = time.Hour
)

const (
	// maxRetired bounds the retired runs that are remembered for one target.
	maxRetired = 32
	// maxUnlisted is the number of unlisted targets at which the tracker ignores rumors
	// about unknown targets.
	maxUnlisted = 1024
)

// entry is the state of one target. The tracker's mutex guards it, except for
// lastAnswered.
type entry struct {
	key   Key
	zone  string
	start string
	state State
	// since is when the current run was first seen. It is zero as described at
	// Target.Since.
	since time.Time
	// firstReported is when this instance received the first report of the current run.
	firstReported time.Time
	// leavingSince is when the current run was first reported as leaving.
	leavingSince time.Time
	// reported means that the run itself or a peer has reported the run, not only the
	// list.
	reported bool
	// listedStart is the start id that the list named last.
	listedStart string
	// listed is false if the list omits the target, which it does since omittedAt.
	listed    bool
	omittedAt time.Time
	// massOmitted means that the list omitted most targets of the service at once.
	massOmitted bool
	// suspectedAt is the latest time at which a run other than the current one was
	// reported as leaving and the target had answered no request sent since. It is zero
	// if the target is not suspected.
	suspectedAt time.Time
	// otherLeavingAt is the latest time at which a run other than the current one was
	// reported as leaving.
	otherLeavingAt time.Time
	// retired holds the start ids of runs that have ended or are leaving, the oldest
	// first. It never holds the current run.
	retired []string
	// lastAnswered is the Unix time in nanoseconds at which the newest request was
	// sent that the target has answered. It never decreases. Snapshots share it.
	lastAnswered *atomic.Int64
}

func newEntry(k Key, now time.Time) *entry {
	return &entry{key: k, firstReported: now, lastAnswered: new(atomic.Int64)}
}

func (e *entry) isRetired(start string) bool {
	for _, s := range e.retired {
		if s == start {
			return true
		}
	}
	return false
}

func (e *entry) retire(start string) {
	if start == "" || e.isRetired(start) {
		return
	}
	e.retired = append(e.retired, start)
	if len(e.retired) > maxRetired {
		e.retired = e.retired[1:]
	}
}

// retireOther records that a run other than the current one is leaving. That run may
// precede or follow the current one. It can never become usable, and the target is
// suspected unless it has answered a request sent after the report.
func (e *entry) retireOther(start string, reportedAt time.Time) {
	e.retire(start)
	e.otherLeavingAt = latest(e.otherLeavingAt, reportedAt)
	if e.lastAnswered.Load() < reportedAt.UnixNano() {
		e.suspectedAt = latest(e.suspectedAt, reportedAt)
	}
}

// beginRun replaces the current run by a new one. It ends a suspicion only if the
// target itself, not only the list, reported the new run.
func (e *entry) beginRun(start string, state State, reported bool, now time.Time) {
	e.retire(e.start)
	e.start, e.state, e.reported = start, Ready, reported
	e.since, e.firstReported = now, now
	e.leavingSince = time.Time{}
	if reported {
		e.suspectedAt = time.Time{}
	}
	e.setState(state, now)
}

// setState changes the state of the current run. It reports whether this is the first
// report that the run is leaving.
func (e *entry) setState(state State, now time.Time) bool {
	if e.state == Draining {
		return false
	}
	e.state = state
	if state != Draining {
		return false
	}
	e.leavingSince = now
	return true
}

// advance raises lastAnswered to the time at which a request was sent.
func advance(lastAnswered *atomic.Int64, sent time.Time) {
	n := sent.UnixNano()
	for old := lastAnswered.Load(); old < n; old = lastAnswered.Load() {
		if lastAnswered.CompareAndSwap(old, n) {
			return
		}
	}
}
