package prober

import (
	"net/netip"
	"time"
)

// Reason tells why traffic says nothing about a target.
type Reason int

// The reasons, the most valuable probe first.
const (
	// Draining targets are suspected of leaving and get no traffic.
	Draining Reason = iota + 1
	// Ejected targets failed and get no traffic until they are known to work.
	Ejected
	// Cold targets have started and had no traffic yet.
	Cold
	// Idle targets failed lately and had no traffic since.
	Idle
	// Known targets need no probe.
	Known
)

// Candidate is a target as the rest of the instance sees it.
type Candidate struct {
	Target netip.AddrPort
	Reason Reason
	// LastReport is when the target last told anything: an answer or a probe's result.
	LastReport time.Time
	// ReasonSince is when the reason arose.
	ReasonSince time.Time
	// Unchanged is the number of probes in a row since then that changed nothing.
	Unchanged int
}

// need holds the times of a reason before the weights shape them.
type need struct {
	// patience is the silence after which a probe is worth its cost.
	patience time.Duration
	// span is the time since the reason arose after which no more probes are sent.
	span time.Duration
}

var needs = map[Reason]need{
	Draining: {patience: 250 * time.Millisecond, span: 2 * time.Minute},
	Ejected:  {patience: time.Second, span: 5 * time.Minute},
	Cold:     {patience: 500 * time.Millisecond, span: 30 * time.Second},
	Idle:     {patience: 2 * time.Second, span: time.Minute},
}

// maxDoublings bounds the back-off of probes that change nothing.
const maxDoublings = 2

// Weights are the settings that shape the need.
type Weights struct {
	// Tail is the weight of tail latency, 0 to 10; 0 turns probes off.
	Tail int
	// Cost is the weight of the cost of measuring, 0 to 10.
	Cost int
}

// due returns when the candidate is worth a probe. It is false when it never is.
// A greater Tail probes sooner and for longer, a greater Cost later and for less long.
func (w Weights) due(c Candidate) (time.Time, bool) {
	n, ok := needs[c.Reason]
	if !ok || w.Tail <= 0 {
		return time.Time{}, false
	}
	patience := n.patience * time.Duration(1+w.Cost) / time.Duration(1+w.Tail)
	span := n.span * time.Duration(1+w.Tail) / time.Duration(1+w.Cost)
	patience <<= min(c.Unchanged, maxDoublings)
	from := c.LastReport
	if c.ReasonSince.After(from) {
		from = c.ReasonSince
	}
	at := from.Add(patience)
	if at.Sub(c.ReasonSince) > span {
		return time.Time{}, false
	}
	return at, true
}
