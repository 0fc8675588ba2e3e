package chooser

import "time"

// Parts are the parts of one target's score.
type Parts struct {
	// Outstanding counts the own requests in flight.
	Outstanding int
	// Others is the reported load of others, weighed by the report's age.
	Others float64
	// Slowness is the recent latency in normal latencies.
	Slowness float64
	// Age is the age of the oldest outstanding request in normal latencies.
	Age float64
	// Distance is added for another availability zone.
	Distance float64
	// Score is the expected time of a request in normal latencies.
	Score float64
}

// Explain returns the parts of a candidate's score.
func (s *Set) Explain(c *Candidate, now time.Time) Parts { return s.score(c, s.ticks(now)) }

func (s *Set) score(c *Candidate, at int64) Parts {
	t := c.Target
	p := Parts{Outstanding: t.Outstanding(), Others: t.others(at), Slowness: t.decayed(at)}
	if p.Outstanding > 0 {
		p.Age = t.oldest(at)
	}
	if c.Foreign {
		p.Distance = s.tuning.Foreign
	}
	slots := float64(s.Slots)
	load := float64(p.Outstanding) + p.Others
	wait := max(0, load+1-slots)/slots + s.tuning.Spread*min(1, load/slots)
	p.Score = s.expected(p.Slowness, p.Age)*(1+wait) + p.Distance
	return p
}

// slowness returns the expected time of a request at an idle target.
func (s *Set) slowness(t *Target, at int64) float64 {
	return s.expected(t.decayed(at), t.oldest(at))
}

// expected joins the recent latency and the age of the oldest request, which
// counts once it is older than any usual latency.
func (s *Set) expected(slowness, age float64) float64 {
	if s.tuning.Patience > 0 && age > s.tuning.Patience {
		return max(slowness, age)
	}
	return slowness
}
