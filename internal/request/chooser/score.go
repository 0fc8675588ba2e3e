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
	// OldestAge is the age of the oldest outstanding request, in normal latencies.
	OldestAge float64 `json:"Age"`
	// Penalty is added for a target in a remote zone or of another owner.
	Penalty float64 `json:"Distance"`
	// Score is the expected time of a request, in normal latencies.
	Score float64
}

// Explain returns the parts of a candidate's score and what excludes the
// candidate from the request. The score leaves out the given number of its
// outstanding requests.
func (s *Set) Explain(c *Candidate, q Query, ignored int, now time.Time) (ScoreParts, Exclusion) {
	at := s.ticks(now)
	return s.score(c, at, ignored), s.exclusion(c, &q, at)
}

// score returns the parts of a candidate's score without the given number of its
// outstanding requests.
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
	wait := max(0, load+1-slots)/slots + s.tuning.OccupancyWeight*min(1, load/slots)
	p.Score = p.Slowdown*(1+wait) + p.Penalty
	return p
}
