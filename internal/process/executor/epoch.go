package executor

import "time"

// tick moves the table's clock forward; a clock that goes back is ignored.
func (t *Table) tick(now time.Time) {
	if now.After(t.clock) {
		t.clock = now
	}
}

// advance seals, forgets and opens epochs. The order matters: an epoch is
// forgotten only after it was sealed.
func (t *Table) advance(now time.Time) {
	t.tick(now)
	for _, e := range t.live {
		if e.open() && !e.superseded.IsZero() && t.clock.Sub(e.superseded) >= t.limits.TokenGrace {
			e.sealed = t.clock
		}
	}
	t.forget()
	if t.closed || len(t.live) >= t.limits.MaxEpochs {
		return
	}
	if n := len(t.live); n > 0 {
		newest := t.live[n-1]
		if newest.open() && t.clock.Sub(newest.opened) < t.limits.EpochDuration {
			return
		}
		newest.superseded = t.clock
	}
	t.newest++
	t.live = append(t.live, &epoch{number: t.newest, opened: t.clock, records: make(map[string]*Record)})
}

// forget drops the oldest epochs whose records need not be kept any longer.
func (t *Table) forget() {
	for len(t.live) > 0 {
		e := t.live[0]
		if e.open() || t.clock.Sub(e.sealed) < t.limits.RecordRetention {
			return
		}
		for _, r := range e.records {
			r.forgotten = true
			t.bytes -= r.kept
			r.kept = 0
		}
		t.live[0] = nil
		t.live = t.live[1:]
	}
}

// find returns a live epoch, or nil.
func (t *Table) find(number uint64) *epoch {
	if len(t.live) == 0 || number < t.live[0].number {
		return nil
	}
	i := number - t.live[0].number
	if i >= uint64(len(t.live)) {
		return nil
	}
	return t.live[i]
}

// settle sets the outcome of a record unless it has one.
func (t *Table) settle(r *Record, outcome *Outcome) {
	if r.phase == finished {
		return
	}
	r.phase = finished
	t.pending--
	r.outcome.Store(outcome)
	close(r.done)
	if size := outcome.bytes(); size > 0 && !r.forgotten {
		r.kept = size
		t.bytes += size
		t.answers = append(t.answers, r)
	}
}

// trim drops the oldest answers until the rest fits. Their records stay.
func (t *Table) trim() {
	for len(t.answers) > 0 && (t.bytes > t.limits.MaxResponseBytes || t.answers[0].kept == 0) {
		r := t.answers[0]
		t.answers[0] = nil
		t.answers = t.answers[1:]
		if r.kept == 0 {
			continue
		}
		t.bytes -= r.kept
		r.kept = 0
		r.outcome.Store(&Outcome{Result: Done, Dropped: true, Reason: "the operation ran; its answer is no longer kept"})
	}
}
