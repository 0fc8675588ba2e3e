package quarantiner

import (
	"sync"
	"sync/atomic"
	"time"
)

// convicting is the number of lost runs that convicts a request.
const convicting = 2

// BusyRetry is when a suspect that found another one running may come back.
const BusyRetry = 50 * time.Millisecond

// entry is what is known against one request.
type entry struct {
	service     Service
	fingerprint Fingerprint
	// runs holds the lost runs that speak against the request and when each was lost.
	runs map[Run]time.Time
	// until is the end of the quarantine, zero when there was none.
	until time.Time
	// terms counts the quarantines.
	terms int
	// last is the time of the newest loss.
	last time.Time
}

// loss names one loss.
type loss struct {
	fingerprint Fingerprint
	run         Run
}

// Table holds the suspected and convicted requests of an instance.
type Table struct {
	limits Limits
	// size is the number of entries, so that a request sees without a lock that
	// there are none.
	size atomic.Int64

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// losses holds, for each lost run, who was lost with it.
	losses map[Run]map[Fingerprint]time.Time
	// apart holds the suspect that runs alone, by service.
	apart map[Service]Fingerprint
	// jail holds the entries that were convicted and not seen to be out of
	// quarantine since.
	jail map[Fingerprint]*entry
	// cleared holds when a request was last answered whole, and struck which
	// losses were taken back: rumors of them go on for some time and count no more.
	cleared map[Fingerprint]time.Time
	struck  map[loss]time.Time
	// convictions and reprieves count changes of state.
	convictions, reprieves int64
}

// New returns an empty table.
func New(limits Limits) *Table {
	return &Table{
		limits:  limits,
		entries: make(map[Fingerprint]*entry),
		losses:  make(map[Run]map[Fingerprint]time.Time),
		apart:   make(map[Service]Fingerprint),
		jail:    make(map[Fingerprint]*entry),
		cleared: make(map[Fingerprint]time.Time),
		struck:  make(map[loss]time.Time),
	}
}

// IsSuspect reports whether anything speaks against a request. Breakers and
// ejection must not conclude from its failures that a target or a service is sick.
func (t *Table) IsSuspect(f Fingerprint, now time.Time) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live(f, now) != nil
}

// Admit decides how a request may run, and when it may come back if it may not.
func (t *Table) Admit(s Service, f Fingerprint, now time.Time) (Verdict, time.Duration) {
	if t.size.Load() == 0 {
		return Free, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.live(f, now)
	if e == nil {
		return Free, 0
	}
	if now.Before(e.until) {
		return Quarantined, e.until.Sub(now)
	}
	if _, taken := t.apart[s]; taken {
		return Busy, BusyRetry
	}
	t.apart[s] = f
	return Isolated, 0
}

// EndIsolation ends the turn of a suspect that Enter granted.
func (t *Table) EndIsolation(s Service, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.apart[s] == f {
		delete(t.apart, s)
	}
}

// RecordLoss records that the connection broke after the request was sent and before
// its whole answer came. It returns the rumor for the peers.
func (t *Table) RecordLoss(s Service, f Fingerprint, r Run, now time.Time) Rumor {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accuse(s, f, r, now, now)
	return Rumor{Service: s, Fingerprint: f, Run: r}
}

// Receive records what a peer told.
func (t *Table) Receive(r Rumor, now time.Time) {
	if r.Age < 0 || r.Age >= t.limits.Suspicion {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-r.Age)
	if r.Cleared {
		t.clear(r.Fingerprint, at, now)
		return
	}
	if t.void(loss{r.Fingerprint, r.Run}, at, now) {
		return
	}
	t.accuse(r.Service, r.Fingerprint, r.Run, at, now)
}

// RecordResponse records an answer to a request that was sent at the given time. A run
// that answers what was sent after its loss did not crash, so that loss is struck out.
func (t *Table) RecordResponse(r Run, sent, now time.Time) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, at := range t.losses[r] {
		if !sent.After(at) {
			continue
		}
		t.unnote(f, r)
		remember(t.struck, loss{f, r}, now, now, t.limits)
		t.acquit(f, r, now)
	}
}

// RecordCompletion records the whole answer to a request: it does not crash targets. It
// returns the rumor for the peers if the request was a suspect.
func (t *Table) RecordCompletion(s Service, f Fingerprint, now time.Time) (Rumor, bool) {
	if t.size.Load() == 0 {
		return Rumor{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.live(f, now) == nil {
		return Rumor{}, false
	}
	t.clear(f, now, now)
	return Rumor{Service: s, Fingerprint: f, Cleared: true}, true
}

// Stats describes a table.
type Stats struct {
	// Entries is the number of suspected and convicted requests.
	Entries int
	// Convictions and Reprieves count requests put into quarantine and let out early.
	Convictions, Reprieves int64
}

// Stats returns the present content of the table.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Entries: len(t.entries), Convictions: t.convictions, Reprieves: t.reprieves}
}
