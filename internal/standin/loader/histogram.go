package loader

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// highestLatency is the highest recorded latency in microseconds.
	highestLatency = int64(time.Minute / time.Microsecond)
	// significantFigures is the number of significant decimal digits of a recorded
	// latency.
	significantFigures = 3
)

// Succeeded reports whether the request got a complete response with status 200.
func (r *Request) Succeeded() bool { return r.Outcome == Done && r.Status == http.StatusOK }

// NewHistogram returns a histogram of latencies in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, significantFigures)
}

// RecordLatency adds the latency of the request to a histogram.
func (r *Request) RecordLatency(h *hdrhistogram.Histogram) {
	_ = h.RecordValue(min(r.Latency.Microseconds(), highestLatency))
}
