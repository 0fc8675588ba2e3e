package admitter

import (
	"sync"
	"sync/atomic"
	"time"
)

// retention is how long the state of a run that is not listed is kept. The list may arrive
// later than what other instances say of the run.
const retention = time.Minute

// Use is what a target is to be used for.
type Use int

// The uses of a target.
const (
	// Request is a request of a caller: the first attempt, a retry, a hedge or a relayed one.
	Request Use = iota
	// Probe is a request for the load.
	Probe
	// Offer names the target to an instance of a remote zone.
	Offer
	// Check is a contact that shows whether the target can be reached.
	Check
)

// Answer says whether a target may be used now.
type Answer struct {
	Admitted bool
	// Opens is when the target may be used. It is zero if the target is admitted, and if no
	// time is known.
	Opens time.Time
	// LastChoice means that a request goes to any other admitted target first.
	LastChoice bool
}

// Admitter holds the state of the runs of all targets. It is safe for concurrent use.
type Admitter struct {
	mutex sync.Mutex
	runs  map[string]*Run
}

// Run is the state of one run of a target. It is safe for concurrent use.
type Run struct {
	limited atomic.Bool
	// closedUntil is when the limit allows the next request.
	closedUntil moment
	// listed is when the run was last listed. Admitter.mutex guards it.
	listed time.Time
}

// moment is a time that is read and written concurrently; 0 means none.
type moment struct{ nanoseconds atomic.Int64 }

func (m *moment) set(t time.Time) {
	if t.IsZero() {
		m.nanoseconds.Store(0)
		return
	}
	m.nanoseconds.Store(t.UnixNano())
}

// isAfter reports whether the moment is later than now.
func (m *moment) isAfter(now time.Time) bool {
	n := m.nanoseconds.Load()
	return n != 0 && n > now.UnixNano()
}

func (m *moment) time() time.Time { return time.Unix(0, m.nanoseconds.Load()) }

// New returns an admitter that admits everything.
func New() *Admitter { return &Admitter{runs: map[string]*Run{}} }

// Run returns the state of a run.
func (a *Admitter) Run(key string) *Run {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r := a.runs[key]
	if r == nil {
		r = &Run{}
		a.runs[key] = r
	}
	return r
}

// Retain forgets the runs that have not been listed for some time.
func (a *Admitter) Retain(listed func(key string) bool, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for key, r := range a.runs {
		switch {
		case listed(key) || r.listed.IsZero():
			r.listed = now
		case now.Sub(r.listed) > retention:
			delete(a.runs, key)
		}
	}
}

// Admit answers whether the run may be used now.
func (r *Run) Admit(u Use, now time.Time) Answer {
	limited := r.limited.Load()
	switch {
	case limited && u != Request:
		return Answer{}
	case limited && r.closedUntil.isAfter(now):
		return Answer{Opens: r.closedUntil.time()}
	}
	return Answer{Admitted: true, LastChoice: limited}
}

// SetLimited records whether the run names a limit on the messages that it takes from all
// instances. A limited run is the last choice and is not probed.
func (r *Run) SetLimited(limited bool) {
	r.limited.Store(limited)
	r.closedUntil.set(time.Time{})
}

// Close records that the run's limit allows no request until the given time.
func (r *Run) Close(until time.Time) { r.closedUntil.set(until) }
