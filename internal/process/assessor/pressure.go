package assessor

import "time"

// level is a degree of being choked.
type level struct {
	// use is the part of the scarcer resource in use, and lateness the delay by the
	// processor's scheduler, from which the level holds.
	use      float64
	lateness time.Duration
	ease     float64
}

// levels holds the levels in ascending order. At four fifths of a resource the mean wait
// is four times the service time and grows without bound towards the whole. A caller's
// objective is a few hundred milliseconds, of which a tenth is lost at the first level.
var levels = []level{
	{ease: 1},
	{use: 0.8, lateness: 30 * time.Millisecond, ease: 0.5},
	{use: 0.95, lateness: 100 * time.Millisecond, ease: 0.25},
}

// holdTime is how long a level holds after its last cause. It is longer than callers keep
// the addresses that they were told, so that they don't all return at once.
const holdTime = 5 * time.Second

// pressure is the level of an instance.
type pressure struct {
	level int
	// since is when the level was last caused.
	since time.Time
}

func (p *pressure) record(use float64, lateness time.Duration, now time.Time) {
	caused := 0
	for k, l := range levels[1:] {
		if use >= l.use || lateness >= l.lateness {
			caused = k + 1
		}
	}
	if caused >= p.level || now.Sub(p.since) >= holdTime {
		p.level, p.since = caused, now
	}
}

func (p *pressure) ease() float64 { return levels[p.level].ease }
