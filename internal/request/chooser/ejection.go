package chooser

import "time"

// Fail records a failure, which counts as a slow answer so that a target that
// fails fast attracts nothing. After limit failures in a row the target is
// ejected for the given time. It tells whether the target began to fail, after
// which the current Set must be recounted.
func (t *Target) Fail(limit int, eject time.Duration, now time.Time) bool {
	t.Observe(t.tuning.Failed, now)
	n := int(t.failures.Add(1))
	if limit <= 0 || n < limit {
		return false
	}
	t.ejectedUntil.Store(t.ticks(now) + int64(eject))
	return n == limit
}

// Succeed ends a row of failures. It tells whether the target had been ejected,
// after which the current Set must be recounted.
func (t *Target) Succeed() bool {
	if t.failures.Load() == 0 {
		return false
	}
	t.failures.Store(0)
	return t.ejectedUntil.Swap(never) != never
}

// Try ends the wait of an ejected target that has answered a probe: it gets one
// request on trial at once, and stays ejected if that fails.
func (t *Target) Try(now time.Time) {
	at := t.ticks(now)
	end := t.ejectedUntil.Load()
	if end != never && end > at {
		t.ejectedUntil.CompareAndSwap(end, at)
	}
}

// failing tells whether the target has failed often enough to be ejected and
// has not succeeded since.
func (t *Target) failing() bool {
	return t.failures.Load() > 0 && t.ejectedUntil.Load() != never
}

// Recount counts the failing targets; it follows each change that Fail or
// Succeed reports.
func (s *Set) Recount() {
	failing := 0
	for i := range s.Candidates {
		if s.Candidates[i].Target.failing() {
			failing++
		}
	}
	s.ejecting.Store(failing > 0 && float64(failing) <= s.tuning.Part*float64(len(s.Candidates)))
}

// Ejected tells until when a target is ejected; ok is false when it is not,
// or when so many fail that ejecting them would leave too few.
func (s *Set) Ejected(t *Target, now time.Time) (until time.Time, ok bool) {
	end := t.ejectedUntil.Load()
	if !s.ejecting.Load() || !t.failing() || end <= s.ticks(now) {
		return time.Time{}, false
	}
	return s.origin.Add(time.Duration(end)), true
}
