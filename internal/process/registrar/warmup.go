package registrar

import "time"

// warmupTolerance is the change of a warm-up's end that counts as none. The time that a
// run states is old by the way of its response.
const warmupTolerance = 100 * time.Millisecond

// extendWarmup moves the end of the warm-up to a time, unless it is later already.
func (e *entry) extendWarmup(end time.Time) {
	if end.After(e.warmupEnd) {
		e.warmupEnd = end
	}
}

// WarmupEnd returns when a run reaches its usual speed. The second result is false if the run
// is not known.
func (r *Registrar) WarmupEnd(key string) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if e := r.entries[key]; e != nil {
		return e.warmupEnd, true
	}
	return time.Time{}, false
}

// RecordWarmup records how long a run says that it stays cold; 0 means that it is warm. It
// reports whether the end of the run's warm-up has moved by warmupTolerance or more. A run
// that is not known is ignored.
func (r *Registrar) RecordWarmup(key string, left time.Duration, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.entries[key]
	if e == nil {
		return false
	}
	end, before := now.Add(max(left, 0)), e.warmupEnd
	if before.Before(now) {
		before = now
	}
	if end.Sub(before).Abs() < warmupTolerance {
		return false
	}
	e.warmupEnd = end
	return true
}
