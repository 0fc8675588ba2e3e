package queuer

import (
	"math"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// OutstandingLimit returns how many requests this instance may have outstanding at one
// target. An owner with the given share (0 means the whole) may fill its part
// of the target's slots and spare; any other instance may borrow slots. Neither
// exceeds the instance's share of the target's connections, because each
// outstanding request holds one.
func OutstandingLimit(p *resolver.Policy, owned bool, share float64) int {
	limit := p.Slots
	if owned {
		limit = max(1, int(math.Round(float64(p.Slots+p.Spare)*wholeIfUnset(share))))
	}
	return min(limit, ConnectionShare(p))
}

// ConnectionShare returns this instance's share of a target's connections. Shares
// are fixed by the largest fleet, so that replacements cannot exceed the sum.
func ConnectionShare(p *resolver.Policy) int {
	if p.Connections <= 0 {
		return math.MaxInt
	}
	return p.Connections / max(1, p.Fleet)
}

func wholeIfUnset(share float64) float64 {
	if share <= 0 || share > 1 {
		return 1
	}
	return share
}
