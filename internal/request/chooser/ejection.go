package chooser

import "time"

// RecordFailure records a failed request. The failure counts as a slow response,
// so that a target that fails fast attracts no requests. After limit failures in
// a row the target is ejected for the given time; a limit of 0 disables ejection.
// RecordFailure reports whether this failure reached the limit; the caller then
// calls UpdateEjection on the current Set.
func (t *Target) RecordFailure(limit int, eject time.Duration, now time.Time) bool {
	t.Observe(t.tuning.FailureRatio, now)
	n := int(t.failures.Add(1))
	if limit <= 0 || n < limit {
		return false
	}
	t.ejectedUntil.Store(t.ticks(now) + int64(eject))
	return n == limit
}

// RecordSuccess ends a series of failures. It reports whether the target had
// reached the failure limit; the caller then calls UpdateEjection on the current
// Set.
func (t *Target) RecordSuccess() bool {
	if t.failures.Load() == 0 {
		return false
	}
	t.failures.Store(0)
	return t.ejectedUntil.Swap(never) != never
}

// AllowTrial lets an ejected target that has answered a probe take one trial
// request at once. The target is ejected again if the trial fails.
func (t *Target) AllowTrial(now time.Time) {
	at := t.ticks(now)
	end := t.ejectedUntil.Load()
	if end != never && end > at {
		t.ejectedUntil.CompareAndSwap(end, at)
	}
}

// failing reports whether the target has reached the failure limit and has not
// succeeded since.
func (t *Target) failing() bool {
	return t.failures.Load() > 0 && t.ejectedUntil.Load() != never
}

// UpdateEjection counts the failing targets and decides whether they may be
// ejected. No target is ejected if more than Tuning.MaxEjectedShare of them fail,
// because too few would be left. UpdateEjection is called after each change that
// RecordFailure or RecordSuccess reports.
func (s *Set) UpdateEjection() {
	failing := 0
	for i := range s.Candidates {
		if s.Candidates[i].Target.failing() {
			failing++
		}
	}
	s.ejectionAllowed.Store(failing > 0 && float64(failing) <= s.tuning.MaxEjectedShare*float64(len(s.Candidates)))
}

// EjectedUntil returns the end of a target's ejection. ok is false when the
// target is not ejected, for example because too many targets fail for any to be
// ejected.
func (s *Set) EjectedUntil(t *Target, now time.Time) (until time.Time, ok bool) {
	end := t.ejectedUntil.Load()
	if !s.ejectionAllowed.Load() || !t.failing() || end <= s.ticks(now) {
		return time.Time{}, false
	}
	return s.origin.Add(time.Duration(end)), true
}
