package prober

import (
	"net/netip"
	"time"
)

// Reason says why the state of a target cannot be seen from traffic.
type Reason int

// The reasons, by descending priority.
const (
	// Suspected targets are suspected of leaving and get no traffic.
	Suspected Reason = iota + 1
	// Ejected targets failed and get no traffic until they are known to work.
	Ejected
	// Cold targets have started and had no traffic yet.
	Cold
	// Idle targets failed lately and had no traffic since.
	Idle
	// Known targets need no probe.
	Known
)

// Candidate is a target that may be probed.
type Candidate struct {
	Target netip.AddrPort
	Reason Reason
	// LastReport is the time of the target's last response to a request or of its last
	// probe result.
	LastReport time.Time
	// ReasonSince is when the reason arose.
	ReasonSince time.Time
	// Unchanged is the number of consecutive probes since ReasonSince after which the
	// reason was the same.
	Unchanged int
}

// timing holds the durations of a reason, before the weights scale them.
type timing struct {
	// silence is the time without a report after which a probe is worth its cost.
	silence time.Duration
	// giveUpAfter is the time since the reason arose after which no more probes are sent.
	giveUpAfter time.Duration
}

var timings = map[Reason]timing{
	Suspected: {silence: 250 * time.Millisecond, giveUpAfter: 2 * time.Minute},
	Ejected:   {silence: time.Second, giveUpAfter: 5 * time.Minute},
	Cold:      {silence: 500 * time.Millisecond, giveUpAfter: 30 * time.Second},
	Idle:      {silence: 2 * time.Second, giveUpAfter: time.Minute},
}

// maxDoublings bounds the backoff: each probe after which the reason is the same doubles
// the silence, up to this number of times.
const maxDoublings = 2

// Weights are the settings that scale the timing of probes.
type Weights struct {
	// Tail is the weight of tail latency, 0 to 10. 0 disables probes.
	Tail int
	// Cost is the weight of the cost of probes, 0 to 10.
	Cost int
}

// due returns the time from which the candidate is worth a probe, and false if it
// never is. A greater Tail starts probes sooner and sends them for longer. A greater
// Cost starts them later and ends them sooner.
func (w Weights) due(c Candidate) (time.Time, bool) {
	t, ok := timings[c.Reason]
	if !ok || w.Tail <= 0 {
		return time.Time{}, false
	}
	silence := t.silence * time.Duration(1+w.Cost) / time.Duration(1+w.Tail)
	giveUpAfter := t.giveUpAfter * time.Duration(1+w.Tail) / time.Duration(1+w.Cost)
	silence <<= min(c.Unchanged, maxDoublings)
	from := c.LastReport
	if c.ReasonSince.After(from) {
		from = c.ReasonSince
	}
	at := from.Add(silence)
	if at.Sub(c.ReasonSince) > giveUpAfter {
		return time.Time{}, false
	}
	return at, true
}
