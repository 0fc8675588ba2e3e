package chooser

import "time"

// ScoreParts holds the parts of one target's score. It is served as JSON; the
// tags keep the names of its fields there.
type ScoreParts struct {
	// Outstanding counts the requests in flight from this instance.
	Outstanding int
	// ExternalLoad is the reported load of other callers in requests, weighted by
	// the age of the report.
	ExternalLoad float64 `json:"Others"`
	// Slowdown is the expected latency at the idle target, in normal latencies.
	Slowdown float64 `json:"Slowness"`
	// OldestAge is the age of the oldest outstanding request, in its expected
	// latency (normal latency times InFlight.LoadFactor).
	OldestAge float64 `json:"Age"`
	// Penalty is added for a target in a remote zone or of another owner.
	Penalty float64 `json:"Distance"`
	// Score is the expected time of a request, in normal latencies.
	Score float64
}

// Explain returns the parts of a candidate's score and what excludes the
// candidate from the request. ignored is the number of the candidate's outstanding
// requests that the score leaves out: 1 if the explained request has already taken
// its capacity, otherwise 0.
func (s *Set) Explain(c *Candidate, q Query, ignored int, now time.Time) (ScoreParts, Exclusion) {
	at := s.ticks(now)
	return s.score(c, at, ignored), s.exclusion(c, &q, at)
}

// score returns the parts of a candidate's score. ignored is as in Explain.
func (s *Set) score(c *Candidate, at int64, ignored int) ScoreParts {
	t := c.Target
	p := ScoreParts{Outstanding: t.Outstanding() - ignored, ExternalLoad: t.externalLoad(at)}
	p.Slowdown, p.OldestAge = t.slowdown(at)
	if c.Remote {
		p.Penalty = s.tuning.RemotePenalty
	}
	if !c.Owned && s.hasOwned {
		p.Penalty += s.tuning.BorrowPenalty
	}
	slots := float64(s.Slots)
	load := float64(p.Outstanding) + p.ExternalLoad
	// wait is the expected queueing time at the target, in service times there, plus
	// a small weight for occupied slots, which spreads requests over idle targets.
	wait := max(0, load+1-slots)/slots + s.tuning.OccupancyWeight*min(1, load/slots)
	p.Score = p.Slowdown*(1+wait) + p.Penalty
	return p
}
