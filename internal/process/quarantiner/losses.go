package quarantiner

import "time"

// addLoss adds a loss to the entry of a request and quarantines the request if it
// has the required number of lost runs.
func (t *Table) addLoss(s Service, f Fingerprint, r Run, at, now time.Time) {
	e := t.activeEntry(f, now)
	if e == nil {
		t.evict(now)
		e = &entry{service: s, fingerprint: f, runs: make(map[Run]time.Time)}
		t.entries[f] = e
		t.size.Store(int64(len(t.entries)))
	}
	if _, known := e.runs[r]; known {
		return
	}
	if len(e.runs) >= t.limits.MaxRuns {
		t.dropOldestRun(e)
	}
	e.runs[r] = at
	if at.After(e.lastLoss) {
		e.lastLoss = at
	}
	t.indexLoss(f, r, at)
	t.recheckQuarantines(now)
	if now.Before(e.until) || len(e.runs) < minLostRuns || len(e.runs) < t.requiredRuns(e) {
		return
	}
	e.until = now.Add(t.quarantineLength(e.quarantines))
	e.quarantines++
	t.quarantines++
	t.quarantined[f] = e
}

// recheckQuarantines drops the quarantines that have ended. It ends early the
// quarantines of requests whose losses, after later ones, no longer point at one
// request alone.
func (t *Table) recheckQuarantines(now time.Time) {
	for f, e := range t.quarantined {
		if !now.Before(e.until) {
			delete(t.quarantined, f)
			continue
		}
		if len(e.runs) < t.requiredRuns(e) {
			t.releaseEarly(e)
		}
	}
}

func (t *Table) releaseEarly(e *entry) {
	e.until = time.Time{}
	e.quarantines--
	t.earlyReleases++
	delete(t.quarantined, e.fingerprint)
}

// requiredRuns returns the number of lost runs that quarantines a request. It is
// one more than minLostRuns if the losses do not point at the request alone.
func (t *Table) requiredRuns(e *entry) int {
	if t.inMassLoss(e) || t.sharesAllRuns(e) {
		return minLostRuns + 1
	}
	return minLostRuns
}

// inMassLoss reports whether at least MassLossRuns runs were lost with other
// requests only, at the time of one of the request's own losses.
func (t *Table) inMassLoss(e *entry) bool {
	otherRuns := 0
	for r, lost := range t.lossesByRun {
		if _, own := e.runs[r]; own {
			continue
		}
		if t.coincides(e, lost) {
			otherRuns++
		}
	}
	return otherRuns >= t.limits.MassLossRuns
}

// coincides reports whether one of the given losses happened within
// CoincidenceWindow of a loss of the entry.
func (t *Table) coincides(e *entry, lost map[Fingerprint]time.Time) bool {
	for _, at := range lost {
		for _, own := range e.runs {
			if at.Sub(own).Abs() <= t.limits.CoincidenceWindow {
				return true
			}
		}
	}
	return false
}

// sharesAllRuns reports whether another request was lost with every run that the
// request was lost with.
func (t *Table) sharesAllRuns(e *entry) bool {
	count := make(map[Fingerprint]int)
	for r := range e.runs {
		for f := range t.lossesByRun[r] {
			count[f]++
		}
	}
	for f, n := range count {
		if f != e.fingerprint && n == len(e.runs) {
			return true
		}
	}
	return false
}

// quarantineLength returns the length of a quarantine after the given number of
// earlier ones.
func (t *Table) quarantineLength(earlier int) time.Duration {
	length := t.limits.FirstQuarantine
	for range earlier {
		length *= 2
		if length >= t.limits.MaxQuarantine {
			return t.limits.MaxQuarantine
		}
	}
	return length
}

// withdrawLoss removes one loss from the entry of a request. The caller must have
// removed the loss from lossesByRun. withdrawLoss ends the quarantine early if too few
// lost runs remain, and removes the entry if none remains.
func (t *Table) withdrawLoss(f Fingerprint, r Run, now time.Time) {
	e := t.entries[f]
	if e == nil {
		return
	}
	delete(e.runs, r)
	if now.Before(e.until) && len(e.runs) < minLostRuns {
		t.releaseEarly(e)
	}
	if len(e.runs) == 0 {
		t.remove(e)
	}
}

// activeEntry returns the entry of a request. It removes an expired entry and
// returns nil.
func (t *Table) activeEntry(f Fingerprint, now time.Time) *entry {
	e := t.entries[f]
	if e == nil {
		return nil
	}
	if t.expired(e, now) {
		t.remove(e)
		return nil
	}
	return e
}

// expired reports whether the last loss and the last quarantine are too long ago to
// count against a request.
func (t *Table) expired(e *entry, now time.Time) bool {
	return now.Sub(e.lastLoss) >= t.limits.SuspicionTimeout && now.Sub(e.until) >= t.limits.SuspicionTimeout
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.fingerprint)
	delete(t.quarantined, e.fingerprint)
	t.size.Store(int64(len(t.entries)))
	for r := range e.runs {
		t.unindexLoss(e.fingerprint, r)
	}
}

// dropOldestRun removes the oldest loss of an entry that holds MaxRuns losses.
func (t *Table) dropOldestRun(e *entry) {
	var oldest Run
	var since time.Time
	for r, at := range e.runs {
		if since.IsZero() || at.Before(since) {
			oldest, since = r, at
		}
	}
	delete(e.runs, oldest)
	t.unindexLoss(e.fingerprint, oldest)
}

// evict removes expired entries from a full table. If the table is still full, it
// removes the first entry in the order of evictedBefore, which puts requests in
// quarantine last.
func (t *Table) evict(now time.Time) {
	if len(t.entries) < t.limits.MaxEntries {
		return
	}
	var oldest *entry
	for _, e := range t.entries {
		if t.expired(e, now) {
			t.remove(e)
			continue
		}
		if oldest == nil || evictedBefore(e, oldest) {
			oldest = e
		}
	}
	if oldest != nil && len(t.entries) >= t.limits.MaxEntries {
		t.remove(oldest)
	}
}

// evictedBefore orders entries for eviction by the end of their quarantine, the
// earliest first. Entries without a quarantine precede all others. Among entries with
// the same end, the one with the older last loss comes first.
func evictedBefore(a, b *entry) bool {
	if !a.until.Equal(b.until) {
		return a.until.Before(b.until)
	}
	return a.lastLoss.Before(b.lastLoss)
}

// indexLoss adds a loss to lossesByRun.
func (t *Table) indexLoss(f Fingerprint, r Run, at time.Time) {
	if t.lossesByRun[r] == nil {
		t.lossesByRun[r] = make(map[Fingerprint]time.Time)
	}
	t.lossesByRun[r][f] = at
}

func (t *Table) unindexLoss(f Fingerprint, r Run) {
	delete(t.lossesByRun[r], f)
	if len(t.lossesByRun[r]) == 0 {
		delete(t.lossesByRun, r)
	}
}

// clear removes the entry of a request that got its complete response at the
// given time, unless a later loss is known. The times that peers report are inexact,
// so a loss within CoincidenceWindow after the response counts as earlier.
func (t *Table) clear(f Fingerprint, at, now time.Time) {
	recordNewest(t.cleared, f, at, now, t.limits)
	if e := t.entries[f]; e != nil && e.lastLoss.Before(at.Add(t.limits.CoincidenceWindow)) {
		t.remove(e)
	}
}

// isRefuted reports whether a loss that a peer reported no longer counts: the
// request got its complete response after it, or the loss was withdrawn.
func (t *Table) isRefuted(l loss, at, now time.Time) bool {
	if cleared, ok := t.cleared[l.fingerprint]; ok && at.Before(cleared.Add(t.limits.CoincidenceWindow)) {
		return true
	}
	withdrawnAt, ok := t.withdrawn[l]
	return ok && now.Sub(withdrawnAt) < t.limits.SuspicionTimeout
}

// recordNewest records the newest time of an event. In a full map it first drops the
// events that are so old that no accepted rumor can be about them.
func recordNewest[K comparable](events map[K]time.Time, key K, at, now time.Time, limits Limits) {
	if len(events) >= limits.MaxEntries {
		for k, old := range events {
			if now.Sub(old) >= limits.SuspicionTimeout {
				delete(events, k)
			}
		}
	}
	if len(events) < limits.MaxEntries && at.After(events[key]) {
		events[key] = at
	}
}
