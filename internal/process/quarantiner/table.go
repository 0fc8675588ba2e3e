package quarantiner

import (
	"sync"
	"sync/atomic"
	"time"
)

// minLostRuns is the number of lost runs that quarantines a request if the losses
// point at it alone.
const minLostRuns = 2

// BusyRetryDelay is the time after which a suspect may be retried if another suspect of
// its service runs isolated.
const BusyRetryDelay = 50 * time.Millisecond

// entry holds the losses and quarantines of one request.
type entry struct {
	service     Service
	fingerprint Fingerprint
	// runs holds the lost runs that count against the request, with the time of each
	// loss.
	runs map[Run]time.Time
	// until is the end of the last quarantine. It is zero if there was none or if it
	// was ended early.
	until time.Time
	// quarantines counts the quarantines, without those that were ended early.
	quarantines int
	// lastLoss is the time of the newest loss.
	lastLoss time.Time
}

// loss identifies the loss of one request with one run.
type loss struct {
	fingerprint Fingerprint
	run         Run
}

// Table holds the suspects and quarantined requests of an instance.
type Table struct {
	limits Limits
	// size is the number of entries. Requests read it without the lock to skip an
	// empty table.
	size atomic.Int64

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// lossesByRun holds, for each lost run, the requests that were lost with it and
	// the time of each loss.
	lossesByRun map[Run]map[Fingerprint]time.Time
	// isolated holds, for each service, the suspect that runs isolated.
	isolated map[Service]Fingerprint
	// quarantined holds the entries in quarantine. An entry whose quarantine has
	// ended stays until recheckQuarantines drops it.
	quarantined map[Fingerprint]*entry
	// cleared holds the time of the last complete response of a request, and withdrawn
	// the time at which a loss was withdrawn. Rumors of losses from before that response,
	// and of withdrawn losses, still arrive for some time and must not count.
	cleared   map[Fingerprint]time.Time
	withdrawn map[loss]time.Time
	// quarantines and earlyReleases count the quarantines that began and that ended
	// early.
	quarantines, earlyReleases int64
}

// New returns an empty table.
func New(limits Limits) *Table {
	return &Table{
		limits:      limits,
		entries:     make(map[Fingerprint]*entry),
		lossesByRun: make(map[Run]map[Fingerprint]time.Time),
		isolated:    make(map[Service]Fingerprint),
		quarantined: make(map[Fingerprint]*entry),
		cleared:     make(map[Fingerprint]time.Time),
		withdrawn:   make(map[loss]time.Time),
	}
}

// IsSuspect reports whether any loss or quarantine counts against a request. Circuit
// breakers and ejection must not conclude from the failures of such a request that
// a target or a service is unhealthy.
func (t *Table) IsSuspect(f Fingerprint, now time.Time) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.activeEntry(f, now) != nil
}

// Admit decides how a request may run. If it must not run, Admit also returns the
// time after which it may be retried.
func (t *Table) Admit(s Service, f Fingerprint, now time.Time) (Verdict, time.Duration) {
	if t.size.Load() == 0 {
		return Free, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.activeEntry(f, now)
	if e == nil {
		return Free, 0
	}
	if now.Before(e.until) {
		return Quarantined, e.until.Sub(now)
	}
	if _, taken := t.isolated[s]; taken {
		return Busy, BusyRetryDelay
	}
	t.isolated[s] = f
	return Isolated, 0
}

// EndIsolation ends the isolation that Admit granted to a suspect.
func (t *Table) EndIsolation(s Service, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isolated[s] == f {
		delete(t.isolated, s)
	}
}

// RecordLoss records that the connection broke after the request was sent and
// before its complete response arrived. It returns the rumor for the peers.
func (t *Table) RecordLoss(s Service, f Fingerprint, r Run, now time.Time) Rumor {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addLoss(s, f, r, now, now)
	return Rumor{Service: s, Fingerprint: f, Run: r}
}

// Receive applies the rumor of a peer. It ignores a rumor whose age is negative or at
// least SuspicionTimeout.
func (t *Table) Receive(r Rumor, now time.Time) {
	if r.Age < 0 || r.Age >= t.limits.SuspicionTimeout {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-r.Age)
	if r.Cleared {
		t.clear(r.Fingerprint, at, now)
		return
	}
	if t.isRefuted(loss{r.Fingerprint, r.Run}, at, now) {
		return
	}
	t.addLoss(r.Service, r.Fingerprint, r.Run, at, now)
}

// RecordResponse records that a run responded to a request that was sent at the
// given time. A run that responds to a request sent after a loss did not crash, so
// RecordResponse withdraws the losses of the run from before that time.
func (t *Table) RecordResponse(r Run, sent, now time.Time) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, at := range t.lossesByRun[r] {
		if !sent.After(at) {
			continue
		}
		t.unindexLoss(f, r)
		recordNewest(t.withdrawn, loss{f, r}, now, now, t.limits)
		t.withdrawLoss(f, r, now)
	}
}

// RecordCompletion records that a request got its complete response, which shows
// that the request does not crash targets. It returns a rumor for the peers, and
// true, if the request was a suspect.
func (t *Table) RecordCompletion(s Service, f Fingerprint, now time.Time) (Rumor, bool) {
	if t.size.Load() == 0 {
		return Rumor{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.activeEntry(f, now) == nil {
		return Rumor{}, false
	}
	t.clear(f, now, now)
	return Rumor{Service: s, Fingerprint: f, Cleared: true}, true
}

// Stats describes the content of a table.
type Stats struct {
	// Entries is the number of suspects and quarantined requests.
	Entries int
	// Quarantines counts the quarantines that began.
	Quarantines int64 `json:"Convictions"`
	// EarlyReleases counts the quarantines that were ended early.
	EarlyReleases int64 `json:"Reprieves"`
}

// Stats returns the current statistics of the table.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Entries: len(t.entries), Quarantines: t.quarantines, EarlyReleases: t.earlyReleases}
}
