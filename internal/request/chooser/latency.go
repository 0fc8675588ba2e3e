package chooser

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// meanGain is the weight of one response in a kind's mean latency.
	meanGain = 1.0 / 64
	// maxLatencyRatio is the greatest latency, as a multiple of the mean, that one
	// response contributes, so that an outlier moves the mean little.
	maxLatencyRatio = 8
	// slowQuantile is the share of responses that are faster than
	// LatencyEstimate.Slow. Hedging the slower ones uses half of a hedge budget of
	// 3%, and the other half remains for times when targets are slow.
	slowQuantile = 0.985
	// slowQuantileStep is the relative change of the quantile by one response.
	slowQuantileStep = 0.05
)

// LatencyEstimate estimates the mean and the slowQuantile of the latency of one
// request kind over all targets. The zero LatencyEstimate has seen no response. It
// may be used concurrently; of two concurrent observations one may be lost, which
// changes the estimate little.
type LatencyEstimate struct {
	// mean and slow hold nanoseconds as the bits of a float64; 0 means unknown.
	mean, slow atomic.Uint64
}

// Mean returns the mean latency, or 0 when it is unknown.
func (e *LatencyEstimate) Mean() time.Duration {
	return time.Duration(math.Float64frombits(e.mean.Load()))
}

// Slow returns the estimated slowQuantile of the latency, or 0 when it is unknown.
func (e *LatencyEstimate) Slow() time.Duration {
	return time.Duration(math.Float64frombits(e.slow.Load()))
}

// Observe adds the latency of one response to the estimate.
func (e *LatencyEstimate) Observe(latency time.Duration) {
	x := max(1, float64(latency))
	mean := math.Float64frombits(e.mean.Load())
	if mean == 0 {
		e.mean.Store(math.Float64bits(x))
		e.slow.Store(math.Float64bits(2 * x))
		return
	}
	x = min(x, maxLatencyRatio*mean)
	e.mean.Store(math.Float64bits(mean + meanGain*(x-mean)))
	slow := math.Float64frombits(e.slow.Load())
	if x > slow {
		slow *= 1 + slowQuantileStep*slowQuantile
	} else {
		slow *= 1 - slowQuantileStep*(1-slowQuantile)
	}
	e.slow.Store(math.Float64bits(max(mean, slow)))
}

// Ratio returns a latency as a multiple of the mean, or 1 when the mean is
// unknown.
func (e *LatencyEstimate) Ratio(latency time.Duration) float64 {
	mean := math.Float64frombits(e.mean.Load())
	if mean == 0 {
		return 1
	}
	return float64(latency) / mean
}
