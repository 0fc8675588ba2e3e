package chooser

import "time"

// Tuning holds the constants of the score and turns single parts of it off, for
// comparisons.
type Tuning struct {
	// Factor is how much slower than normal a slow target is taken to be.
	Factor float64
	// Prior is the odds that a target is slow of which nothing recent is known.
	Prior float64
	// Forget is the time after which what answers told counts half.
	Forget time.Duration
	// UseAges lets the ages of outstanding requests count.
	UseAges bool
	// ReportHalfLife is the age at which a report counts half; 0 turns reports off.
	ReportHalfLife time.Duration
	// Spread is the weight of a target's use of its slots while some are free.
	Spread float64
	// Foreign is the score added to a target of another availability zone.
	Foreign float64
	// Borrow is the score added to a target of another owner at an instance that
	// owns some itself.
	Borrow float64
	// Failed is the slowness that a failure counts as at least.
	Failed float64
	// Part is the share of targets that may be ejected at a time.
	Part float64
	// ReserveSpare keeps the room beyond the slots for urgent requests.
	ReserveSpare bool
	// Window bounds the candidates that one choice scores.
	Window int
}

// DefaultTuning returns the constants in use.
func DefaultTuning() Tuning {
	return Tuning{
		Factor: 4, Prior: 0.05, Forget: 60 * time.Millisecond, UseAges: true, ReserveSpare: true,
		ReportHalfLife: 20 * time.Millisecond,
		Spread:         0.1,
		Foreign:        0.05,
		Borrow:         0.3,
		Failed:         8,
		Part:           0.5,
		Window:         32,
	}
}
