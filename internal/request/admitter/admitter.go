package admitter

import (
	"sync"
	"sync/atomic"
	"time"
)

// retention is how long the state of a run that is not listed is kept. The list may arrive
// later than what other instances say of the run.
const retention = time.Minute

// maxDoublings bounds how often the wait for a permit of a cold run doubles. A warm-up lasts
// some seconds and the first wait is some tenths of one.
const maxDoublings = 3

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
	// Check is a contact that shows whether the target can be reached. A limited target is
	// the last choice for it.
	Check
)

// Answer says whether a target may be used now.
type Answer struct {
	Admitted bool
	// Opens is when the target may be used. It is zero if the target is admitted, and if no
	// time is known.
	Opens time.Time
	// LastChoice means that any other admitted target comes first.
	LastChoice bool
	// Cold means that a non-idempotent request goes to any warm target first.
	Cold bool
}

// Admitter holds the state of the runs of all targets. It is safe for concurrent use.
type Admitter struct {
	mutex sync.Mutex
	runs  map[string]*Run
}

// Run is the state of one run of a target. It is safe for concurrent use.
type Run struct {
	limited atomic.Bool
	// closedUntil is when the limit or the warm-up may allow the next request.
	closedUntil moment
	// refusals counts the permits that were refused since the last one that was granted.
	refusals atomic.Int32
	// pausedUntil is when the run takes messages of this instance again.
	pausedUntil moment
	// coldUntil is when the run takes requests without permits again.
	coldUntil moment
	// listed is when the run was last listed. Admitter.mutex guards it.
	listed time.Time
}

// moment is a time that is read and written concurrently. It keeps the monotonic part, so
// that a step of the clock neither ends nor extends a state.
type moment struct{ at atomic.Pointer[time.Time] }

func (m *moment) set(t time.Time) { m.at.Store(&t) }

// time returns the moment, or the zero time if none was set.
func (m *moment) time() time.Time {
	if t := m.at.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// isAfter reports whether the moment is later than now.
func (m *moment) isAfter(now time.Time) bool { return m.time().After(now) }

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
		case now.Sub(r.listed) > retention && !r.Paused(now):
			delete(a.runs, key)
		}
	}
}

// Count returns the number of runs that are paused and of those that are cold.
func (a *Admitter) Count(now time.Time) (paused, cold int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, r := range a.runs {
		if r.Paused(now) {
			paused++
		}
		if r.Cold(now) {
			cold++
		}
	}
	return paused, cold
}

// Admit answers whether the run may be used now.
func (r *Run) Admit(u Use, now time.Time) Answer {
	limited, cold := r.limited.Load(), r.coldUntil.isAfter(now)
	switch {
	case r.pausedUntil.isAfter(now):
		return Answer{Opens: r.pausedUntil.time()}
	case u == Check:
		return Answer{Admitted: true, LastChoice: limited}
	case limited && u != Request:
		return Answer{}
	case u != Probe && r.closedUntil.isAfter(now):
		return Answer{Opens: r.closedUntil.time()}
	}
	return Answer{Admitted: true, LastChoice: limited, Cold: cold}
}

// SetLimited records whether the run names a limit on the messages that it takes from all
// instances. A limited run is the last choice and is not probed.
func (r *Run) SetLimited(limited bool) {
	r.limited.Store(limited)
	r.closedUntil.set(time.Time{})
}

// Close records that the run got no permit and that there is none before the given time. It
// changes nothing for a run that is closed. A cold run stays closed longer with each refusal,
// up to the end of its warm-up, so that the instances that want one of the few permits ask
// less often.
func (r *Run) Close(until, now time.Time) {
	if r.closedUntil.isAfter(now) {
		return
	}
	if !r.limited.Load() && r.Cold(now) {
		wait := until.Sub(now) << min(r.refusals.Load(), maxDoublings)
		r.refusals.Add(1)
		until = now.Add(min(wait, r.coldUntil.time().Sub(now)))
	}
	r.closedUntil.set(until)
}

// Granted records that a request to the run got a permit.
func (r *Run) Granted() { r.refusals.Store(0) }

// Pause records that the run takes no message of this instance until the given time. It
// does not shorten an earlier pause, and reports whether the run was not paused before.
func (r *Run) Pause(until, now time.Time) (began bool) {
	if until.After(r.pausedUntil.time()) {
		began = !r.pausedUntil.isAfter(now)
		r.pausedUntil.set(until)
	}
	return began
}

// SetCold records until when each request to the run needs a permit of its warm-up; the
// zero time means never. It reports whether that has changed.
func (r *Run) SetCold(until time.Time) (changed bool) {
	before := r.coldUntil.time()
	if before.Equal(until) {
		return false
	}
	r.coldUntil.set(until)
	if until.Before(before) && !r.limited.Load() {
		r.closedUntil.set(time.Time{})
	}
	r.refusals.Store(0)
	return true
}

// Paused reports whether the run takes no message of this instance.
func (r *Run) Paused(now time.Time) bool { return r.pausedUntil.isAfter(now) }

// Cold reports whether a request to the run needs a permit of its warm-up.
func (r *Run) Cold(now time.Time) bool { return r.coldUntil.isAfter(now) }
