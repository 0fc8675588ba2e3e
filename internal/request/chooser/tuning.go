package chooser

import "time"

// Tuning holds the constants of the score. Comparisons turn single parts of the
// score off with it.
type Tuning struct {
	// SlowTargetSlowdown is the slowdown that a slow target is assumed to have.
	SlowTargetSlowdown float64
	// PriorOdds is the odds that a target is slow while nothing recent is known
	// about it.
	PriorOdds float64
	// EvidenceHalfLife is the time after which the evidence from responses counts
	// half.
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
	// FailureSlowdown is the slowdown that a failure counts as.
	FailureSlowdown float64
	// MaxEjectedShare is the greatest share of targets that may be ejected at a
	// time.
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
		FailureSlowdown: 8,
		MaxEjectedShare: 0.5,
		Window:          32,
	}
}
