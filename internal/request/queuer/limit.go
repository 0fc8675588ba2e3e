package queuer

import (
	"math"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// OutstandingLimit returns how many requests this instance may have outstanding
// at one target. An instance that owns the target may use the given share of
// p.Slots+p.Spare, the requests that the target runs plus those that may queue
// there; a share of 0 means all of them. Any other instance may use up to p.Slots.
// Neither may exceed the instance's share of the target's connections, because each
// outstanding request holds one connection.
func OutstandingLimit(p *resolver.Policy, owned bool, share float64) int {
	limit := p.Slots
	if owned {
		limit = max(1, int(math.Round(float64(p.Slots+p.Spare)*shareOrWhole(share))))
	}
	return min(limit, ConnectionShare(p))
}

// ConnectionShare returns this instance's share of a target's connections. The
// shares are computed for the largest fleet, so that the sum stays within the
// target's limit while instances are replaced. It returns math.MaxInt if the target
// sets no limit.
func ConnectionShare(p *resolver.Policy) int {
	if p.Connections <= 0 {
		return math.MaxInt
	}
	return p.Connections / max(1, p.Fleet)
}

// shareOrWhole returns 1 for a share that is unset or out of range.
func shareOrWhole(share float64) float64 {
	if share <= 0 || share > 1 {
		return 1
	}
	return share
}
