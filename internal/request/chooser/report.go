package chooser

import (
	"strconv"
	"strings"
)

// Names of the load report's metrics in the text form of ORCA.
const (
	reportForm    = "TEXT"
	metricRunning = "named_metrics.running"
	metricQueued  = "named_metrics.queued"
	metricSlots   = "named_metrics.slots"
)

// Report is a target's own statement of its load. The zero Report says nothing.
type Report struct {
	// Running and Queued count the requests of all callers at the target.
	Running, Queued int
	// Slots is the number of requests that the target runs at a time; a Report
	// with no slots is not valid.
	Slots int
}

// Valid tells whether the report states a load.
func (r Report) Valid() bool { return r.Slots > 0 }

// ParseReport reads the value of an endpoint-load-metrics header. The zero
// Report is returned for anything that is not a whole report.
func ParseReport(text string) Report {
	form, list, found := strings.Cut(strings.TrimSpace(text), " ")
	if !found || form != reportForm {
		return Report{}
	}
	r := Report{Running: -1}
	for pair := range strings.SplitSeq(list, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		field := r.field(name)
		if field == nil {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !(number >= 0 && number <= maxReported) {
			return Report{}
		}
		*field = int(number)
	}
	if r.Running < 0 || r.Slots < 1 {
		return Report{}
	}
	return r
}

// maxReported bounds a believable metric; a larger one spoils the report.
const maxReported = 1 << 20

func (r *Report) field(name string) *int {
	switch name {
	case metricRunning:
		return &r.Running
	case metricQueued:
		return &r.Queued
	case metricSlots:
		return &r.Slots
	}
	return nil
}

// String returns the header value that ParseReport reads.
func (r Report) String() string {
	return reportForm + " " + metricRunning + "=" + strconv.Itoa(r.Running) +
		", " + metricQueued + "=" + strconv.Itoa(r.Queued) +
		", " + metricSlots + "=" + strconv.Itoa(r.Slots)
}
