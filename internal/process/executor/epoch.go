package executor

import "time"

// The methods in this file require t.mu, except in New, whose table no other goroutine
// has yet.

// advanceClock sets the table's clock to now, unless now is earlier.
func (t *Table) advanceClock(now time.Time) {
	if now.After(t.clock) {
		t.clock = now
	}
}

// advanceEpochs seals, forgets and opens epochs, in this order: an epoch must be
// sealed before it is forgotten.
func (t *Table) advanceEpochs(now time.Time) {
	t.advanceClock(now)
	for _, e := range t.liveEpochs {
		if e.open() && !e.supersededAt.IsZero() && t.clock.Sub(e.supersededAt) >= t.limits.TokenGrace {
			e.sealedAt = t.clock
		}
	}
	t.forgetEpochs()
	if t.closed || len(t.liveEpochs) >= t.limits.MaxEpochs {
		return
	}
	if n := len(t.liveEpochs); n > 0 {
		newest := t.liveEpochs[n-1]
		if newest.open() && t.clock.Sub(newest.openedAt) < t.limits.EpochDuration {
			return
		}
		newest.supersededAt = t.clock
	}
	t.newest++
	t.liveEpochs = append(t.liveEpochs, &epoch{number: t.newest, openedAt: t.clock, records: make(map[string]*Record)})
}

// forgetEpochs drops the oldest epochs that have been sealed for RecordRetention.
func (t *Table) forgetEpochs() {
	for len(t.liveEpochs) > 0 {
		e := t.liveEpochs[0]
		if e.open() || t.clock.Sub(e.sealedAt) < t.limits.RecordRetention {
			return
		}
		for _, r := range e.records {
			r.forgotten = true
			t.responseBytes -= r.keptBytes
			r.keptBytes = 0
		}
		t.liveEpochs[0] = nil
		t.liveEpochs = t.liveEpochs[1:]
	}
}

// findEpoch returns the live epoch with the number, or nil.
func (t *Table) findEpoch(number uint64) *epoch {
	if len(t.liveEpochs) == 0 || number < t.liveEpochs[0].number {
		return nil
	}
	i := number - t.liveEpochs[0].number
	if i >= uint64(len(t.liveEpochs)) {
		return nil
	}
	return t.liveEpochs[i]
}

// setOutcome sets the outcome of a record unless it already has one.
func (t *Table) setOutcome(r *Record, outcome *Outcome) {
	if r.phase == finished {
		return
	}
	r.phase = finished
	t.pending--
	r.outcome.Store(outcome)
	close(r.done)
	if size := outcome.droppableBytes(); size > 0 && !r.forgotten {
		r.keptBytes = size
		t.responseBytes += size
		t.responses = append(t.responses, r)
	}
}

// trimResponses drops the oldest responses until the rest takes no more than
// MaxResponseBytes. Their records stay.
func (t *Table) trimResponses() {
	for len(t.responses) > 0 && (t.responseBytes > t.limits.MaxResponseBytes || t.responses[0].keptBytes == 0) {
		r := t.responses[0]
		t.responses[0] = nil
		t.responses = t.responses[1:]
		if r.keptBytes == 0 {
			continue
		}
		t.responseBytes -= r.keptBytes
		r.keptBytes = 0
		r.outcome.Store(&Outcome{Result: Done, Dropped: true, Reason: "the operation ran; its answer is no longer kept"})
	}
}
