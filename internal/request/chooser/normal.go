package chooser

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// normalGain is the weight of one answer in a kind's average latency.
	normalGain = 1.0 / 64
	// normalCap bounds, in averages, what one answer may move the average by.
	normalCap = 8
	// quantile is the share of answers that are faster than Normal.Slow; second
	// tries after it leave half of a budget of 3% for times when targets are slow.
	quantile = 0.985
	// quantileStep is the relative change of the quantile by one answer.
	quantileStep = 0.05
)

// Normal learns the usual latency of one kind over all targets. The zero Normal
// knows nothing. It may be used concurrently.
type Normal struct {
	// mean and slow hold nanoseconds as bits of a float; 0 is unknown.
	mean, slow atomic.Uint64
}

// Mean returns the average latency, 0 when not known.
func (n *Normal) Mean() time.Duration {
	return time.Duration(math.Float64frombits(n.mean.Load()))
}

// Slow returns the latency that few answers exceed, 0 when not known.
func (n *Normal) Slow() time.Duration {
	return time.Duration(math.Float64frombits(n.slow.Load()))
}

// Observe learns from an answer.
func (n *Normal) Observe(latency time.Duration) {
	x := max(1, float64(latency))
	mean := math.Float64frombits(n.mean.Load())
	if mean == 0 {
		n.mean.Store(math.Float64bits(x))
		n.slow.Store(math.Float64bits(2 * x))
		return
	}
	x = min(x, normalCap*mean)
	n.mean.Store(math.Float64bits(mean + normalGain*(x-mean)))
	slow := math.Float64frombits(n.slow.Load())
	if x > slow {
		slow *= 1 + quantileStep*quantile
	} else {
		slow *= 1 - quantileStep*(1-quantile)
	}
	n.slow.Store(math.Float64bits(max(mean, slow)))
}

// Ratio returns a latency in averages; it is 1 when nothing is known.
func (n *Normal) Ratio(latency time.Duration) float64 {
	mean := math.Float64frombits(n.mean.Load())
	if mean == 0 {
		return 1
	}
	return float64(latency) / mean
}
