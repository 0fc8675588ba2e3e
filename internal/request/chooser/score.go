package chooser

import "time"

// Parts are the parts of one target's score.
type Parts struct {
	// Outstanding counts the own requests in flight.
	Outstanding int
	// Others is the reported load of others, weighed by the report's age.
	Others float64
	// Slowdown is the expected latency at the idle target in normal latencies.
	Slowdown float64
	// Age is the age of the oldest outstanding request in normal latencies.
	Age float64
	// Distance is added for another availability zone.
	Distance float64
	// Score is the expected time of a request in normal latencies.
	Score float64
}

// Explain returns the parts of a candidate's score, without mine of its
// outstanding requests, and what keeps the request from it.
func (s *Set) Explain(c *Candidate, q Query, mine int, now time.Time) (Parts, Bar) {
	at := s.ticks(now)
	return s.score(c, at, mine), s.bar(c, &q, at)
}

func (s *Set) score(c *Candidate, at int64, mine int) Parts {
	t := c.Target
	p := Parts{Outstanding: t.Outstanding() - mine, Others: t.others(at)}
	p.Slowdown, p.Age = t.slowness(at)
	if c.Foreign {
		p.Distance = s.tuning.Foreign
	}
	if !c.Owned && s.owners {
		p.Distance += s.tuning.Borrow
	}
	slots := float64(s.Slots)
	load := float64(p.Outstanding) + p.Others
	wait := max(0, load+1-slots)/slots + s.tuning.Spread*min(1, load/slots)
	p.Score = p.Slowdown*(1+wait) + p.Distance
	return p
}
