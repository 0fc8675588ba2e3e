package chooser

import "time"

// Tuning holds the constants of the score and turns single parts of it off, for
// comparisons.
type Tuning struct {
	// Gain is the weight of one answer in a target's latency average.
	Gain float64
	// Peak is the weight of one answer that is slower than the average.
	Peak float64
	// Forget is the time after which an unused target's slowness counts half.
	Forget time.Duration
	// Patience is the age of an outstanding request, in normal latencies, from
	// which it makes its target look slow; 0 turns the part off.
	Patience float64
	// Stale is the age at which a report counts half; 0 turns reports off.
	Stale time.Duration
	// Spread is the weight of a target's use of its slots while some are free.
	Spread float64
	// Foreign is the score added to a target of another availability zone.
	Foreign float64
	// Failed is the slowness that a failure counts as at least.
	Failed float64
	// Part is the share of targets that may be ejected at a time.
	Part float64
	// Window bounds the candidates that one choice scores.
	Window int
}

// DefaultTuning returns the constants in use.
func DefaultTuning() Tuning {
	return Tuning{
		Gain:     0.2,
		Peak:     0.3,
		Forget:   60 * time.Millisecond,
		Patience: 3,
		Stale:    20 * time.Millisecond,
		Spread:   0.1,
		Foreign:  0.05,
		Failed:   8,
		Part:     0.5,
		Window:   32,
	}
}
