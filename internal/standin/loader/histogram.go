package loader

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// highestLatency is the highest value of a histogram in microseconds.
	highestLatency = int64(time.Minute / time.Microsecond)
	// significantFigures is the precision of a histogram.
	significantFigures = 3
)

// Succeeded tells whether the request got a whole and successful answer.
func (r *Request) Succeeded() bool { return r.Outcome == Done && r.Status == http.StatusOK }

// NewHistogram returns a histogram for latencies in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, significantFigures)
}

// RecordLatency adds the request's latency to a histogram.
func (r *Request) RecordLatency(h *hdrhistogram.Histogram) {
	_ = h.RecordValue(min(r.Latency.Microseconds(), highestLatency))
}
