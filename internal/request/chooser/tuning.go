package chooser

import "time"

// Tuning holds the constants of the choice. Comparisons change single constants to
// measure what a part of the score contributes.
type Tuning struct {
	// SlowTargetSlowdown is the slowdown that a slow target is assumed to have.
	SlowTargetSlowdown float64
	// PriorOdds is the odds that a target is slow while nothing recent is known
	// about it.
	PriorOdds float64
	// EvidenceHalfLife is the time after which the evidence from responses counts
	// half; 0 keeps the evidence.
	EvidenceHalfLife time.Duration
	// UseAges includes the ages of outstanding requests in the score.
	UseAges bool
	// ReportHalfLife is the age at which a load report counts half; 0 ignores
	// reports.
	ReportHalfLife time.Duration
	// OccupancyWeight is the weight of the occupied share of a target's slots while
	// some slots are free.
	OccupancyWeight float64
	// RemotePenalty is added to the score of a target in a remote availability
	// zone.
	RemotePenalty float64
	// BorrowPenalty is added to the score of a target of another owner, at an
	// instance that owns targets itself.
	BorrowPenalty float64
	// FailureRatio is the latency, in normal latencies, that a failure counts as.
	// Target.Observe bounds it to twice SlowTargetSlowdown.
	FailureRatio float64
	// MaxEjectedShare is the greatest share of targets that may be ejected at a
	// time. If more of them fail, none is ejected, because too few would be left.
	MaxEjectedShare float64
	// ReserveSpare keeps the capacity beyond the slots for urgent requests.
	ReserveSpare bool
	// Window bounds the number of candidates that are scored together; further
	// ones are scored only if none of these has capacity.
	Window int
}

// DefaultTuning returns the constants in use.
func DefaultTuning() Tuning {
	return Tuning{
		SlowTargetSlowdown: 4, PriorOdds: 0.05, EvidenceHalfLife: 60 * time.Millisecond, UseAges: true, ReserveSpare: true,
		ReportHalfLife:  20 * time.Millisecond,
		OccupancyWeight: 0.1,
		RemotePenalty:   0.05,
		BorrowPenalty:   0.3,
		FailureRatio:    8,
		MaxEjectedShare: 0.5,
		Window:          32,
	}
}
