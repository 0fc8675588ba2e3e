package quarantiner

import "time"

// accuse adds a loss to a request's entry and convicts it if that is enough.
func (t *Table) accuse(s Service, f Fingerprint, r Run, at, now time.Time) {
	e := t.live(f, now)
	if e == nil {
		t.makeRoom(now)
		e = &entry{service: s, fingerprint: f, runs: make(map[Run]time.Time)}
		t.entries[f] = e
		t.size.Store(int64(len(t.entries)))
	}
	if _, known := e.runs[r]; known {
		return
	}
	if len(e.runs) >= t.limits.Runs {
		t.dropOldest(e)
	}
	e.runs[r] = at
	if at.After(e.last) {
		e.last = at
	}
	t.note(f, r, at)
	t.reconsider(now)
	if now.Before(e.until) || len(e.runs) < convicting || len(e.runs) < t.needed(e) {
		return
	}
	e.until = now.Add(t.term(e.terms))
	e.terms++
	t.convictions++
	t.jail[f] = e
}

// reconsider lets requests out of quarantine when a later loss shows that the
// earlier ones do not point at them alone.
func (t *Table) reconsider(now time.Time) {
	for f, e := range t.jail {
		if !now.Before(e.until) {
			delete(t.jail, f)
			continue
		}
		if len(e.runs) < t.needed(e) {
			t.release(e)
		}
	}
}

// release ends a quarantine early.
func (t *Table) release(e *entry) {
	e.until = time.Time{}
	e.terms--
	t.reprieves++
	delete(t.jail, e.fingerprint)
}

// needed returns the number of lost runs that convicts a request: one more when
// the losses do not point at it alone.
func (t *Table) needed(e *entry) int {
	if t.crowded(e) || t.shared(e) {
		return convicting + 1
	}
	return convicting
}

// crowded reports whether many runs were lost by other requests only, at the
// moments at which this request's runs were lost.
func (t *Table) crowded(e *entry) bool {
	others := 0
	for r, lost := range t.losses {
		if _, own := e.runs[r]; own {
			continue
		}
		if t.near(e, lost) {
			others++
		}
	}
	return others >= t.limits.Crowd
}

func (t *Table) near(e *entry, lost map[Fingerprint]time.Time) bool {
	for _, at := range lost {
		for _, own := range e.runs {
			if at.Sub(own).Abs() <= t.limits.Together {
				return true
			}
		}
	}
	return false
}

// shared reports whether another request was lost with every one of the runs.
func (t *Table) shared(e *entry) bool {
	count := make(map[Fingerprint]int)
	for r := range e.runs {
		for f := range t.losses[r] {
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

// term returns the length of a quarantine after the given number of earlier ones.
func (t *Table) term(earlier int) time.Duration {
	length := t.limits.Quarantine
	for range earlier {
		length *= 2
		if length >= t.limits.Longest {
			return t.limits.Longest
		}
	}
	return length
}

// acquit takes one loss back, and the quarantine with it if too little is left.
func (t *Table) acquit(f Fingerprint, r Run, now time.Time) {
	e := t.entries[f]
	if e == nil {
		return
	}
	delete(e.runs, r)
	if now.Before(e.until) && len(e.runs) < convicting {
		t.release(e)
	}
	if len(e.runs) == 0 {
		t.remove(e)
	}
}

// live returns the entry of a request, dropping it when it is out of date.
func (t *Table) live(f Fingerprint, now time.Time) *entry {
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

// expired reports whether neither a loss nor a past quarantine speaks against
// a request any longer.
func (t *Table) expired(e *entry, now time.Time) bool {
	return now.Sub(e.last) >= t.limits.Suspicion && now.Sub(e.until) >= t.limits.Suspicion
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.fingerprint)
	delete(t.jail, e.fingerprint)
	t.size.Store(int64(len(t.entries)))
	for r := range e.runs {
		t.unnote(e.fingerprint, r)
	}
}

// dropOldest takes the oldest loss out of a full entry.
func (t *Table) dropOldest(e *entry) {
	var oldest Run
	var since time.Time
	for r, at := range e.runs {
		if since.IsZero() || at.Before(since) {
			oldest, since = r, at
		}
	}
	delete(e.runs, oldest)
	t.unnote(e.fingerprint, oldest)
}

// makeRoom drops entries that are out of date, and the one with the oldest loss
// that is not in quarantine when the table is still full.
func (t *Table) makeRoom(now time.Time) {
	if len(t.entries) < t.limits.Entries {
		return
	}
	var oldest *entry
	for _, e := range t.entries {
		if t.expired(e, now) {
			t.remove(e)
			continue
		}
		if oldest == nil || older(e, oldest) {
			oldest = e
		}
	}
	if oldest != nil && len(t.entries) >= t.limits.Entries {
		t.remove(oldest)
	}
}

// older orders entries for removal: the end of the quarantine first, then the last loss.
func older(a, b *entry) bool {
	if !a.until.Equal(b.until) {
		return a.until.Before(b.until)
	}
	return a.last.Before(b.last)
}

// note remembers who was lost with a run.
func (t *Table) note(f Fingerprint, r Run, at time.Time) {
	if t.losses[r] == nil {
		t.losses[r] = make(map[Fingerprint]time.Time)
	}
	t.losses[r][f] = at
}

func (t *Table) unnote(f Fingerprint, r Run) {
	delete(t.losses[r], f)
	if len(t.losses[r]) == 0 {
		delete(t.losses, r)
	}
}

// clear drops what speaks against a request up to the time at which it was
// answered whole. Times told by peers are inexact, so losses of the same moment
// count as earlier.
func (t *Table) clear(f Fingerprint, at, now time.Time) {
	remember(t.cleared, f, at, now, t.limits)
	if e := t.entries[f]; e != nil && e.last.Before(at.Add(t.limits.Together)) {
		t.remove(e)
	}
}

// void reports whether a loss that a peer told was already answered for: the
// request ran whole after it, or the run answered after it.
func (t *Table) void(l loss, at, now time.Time) bool {
	if cleared, ok := t.cleared[l.fingerprint]; ok && at.Before(cleared.Add(t.limits.Together)) {
		return true
	}
	struck, ok := t.struck[l]
	return ok && now.Sub(struck) < t.limits.Suspicion
}

// remember notes the newest time of an event and drops those that no rumor can
// be about any more.
func remember[K comparable](events map[K]time.Time, key K, at, now time.Time, limits Limits) {
	if len(events) >= limits.Entries {
		for k, old := range events {
			if now.Sub(old) >= limits.Suspicion {
				delete(events, k)
			}
		}
	}
	if len(events) < limits.Entries && at.After(events[key]) {
		events[key] = at
	}
}
