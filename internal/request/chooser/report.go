package chooser

import (
	"strconv"
	"strings"
)

// Names in a load report in ORCA's text format.
const (
	orcaTextFormat = "TEXT"
	metricRunning  = "named_metrics.running"
	metricQueued   = "named_metrics.queued"
	metricSlots    = "named_metrics.slots"
)

// Report is the load that a target reports. The zero Report carries no load. It
// is served as JSON.
type Report struct {
	// Running and Queued count the requests of all callers at the target.
	Running, Queued int
	// Slots is the number of requests that the target runs at a time; a Report
	// without slots is not valid.
	Slots int
}

// Valid reports whether the Report carries a load.
func (r Report) Valid() bool { return r.Slots > 0 }

// ParseReport parses the value of an endpoint-load-metrics header. It returns
// the zero Report if the value is malformed or lacks the running requests or the
// slots.
func ParseReport(text string) Report {
	format, list, found := strings.Cut(strings.TrimSpace(text), " ")
	if !found || format != orcaTextFormat {
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
		if err != nil || !(number >= 0 && number <= maxMetric) {
			return Report{}
		}
		*field = int(number)
	}
	if r.Running < 0 || r.Slots < 1 {
		return Report{}
	}
	return r
}

// maxMetric is the greatest plausible value of a metric; a report with a greater
// one is not valid.
const maxMetric = 1 << 20

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

// String returns the header value that ParseReport parses.
func (r Report) String() string {
	return orcaTextFormat + " " + metricRunning + "=" + strconv.Itoa(r.Running) +
		", " + metricQueued + "=" + strconv.Itoa(r.Queued) +
		", " + metricSlots + "=" + strconv.Itoa(r.Slots)
}
