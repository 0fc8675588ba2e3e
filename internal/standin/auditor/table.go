package auditor

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
)

// Row summarizes the requests of one kind.
type Row struct {
	Service, Kind string
	// Count counts the requests.
	Count int
	// Rejected counts requests that ended as not executed or unsent, Unknown counts
	// requests that may have run, Failed counts requests that a target answered with
	// an error.
	Rejected, Unknown, Failed int
	// Retried counts requests with more than one attempt that was sent.
	Retried int
	// Attempts counts the attempts that were sent, Runs the runs, both over all
	// requests. If Runs exceeds Attempts, the instances sent retries or hedges.
	Attempts, Runs int
	// Probes counts the probes of the whole service. Only the first row of a service
	// has a count.
	Probes int
	// Latencies holds the latencies of successful requests in microseconds.
	Latencies *hdrhistogram.Histogram
}

// Percentile returns the latency at a percentile; q is between 0 and 100.
func (r *Row) Percentile(q float64) time.Duration {
	return time.Duration(r.Latencies.ValueAtQuantile(q)) * time.Microsecond
}

// add adds a request to the counts of the row.
func (r *Row) add(request loader.Request) {
	r.Count++
	sent := 0
	for _, a := range request.Attempts {
		if a.Outcome != loader.Unsent {
			sent++
		}
	}
	r.Attempts += sent
	if sent > 1 {
		r.Retried++
	}
	switch {
	case request.Succeeded():
		request.RecordLatency(r.Latencies)
	case request.Outcome == loader.Done:
		r.Failed++
	case request.Outcome == loader.Unknown:
		r.Unknown++
	default:
		r.Rejected++
	}
}

// tabulate returns one row per kind, sorted by service and kind.
func tabulate(results []*loader.Result, events []recorder.Event) []Row {
	type key struct{ service, kind string }
	rows := map[key]*Row{}
	row := func(service, kind string) *Row {
		k := key{service, kind}
		if rows[k] == nil {
			rows[k] = &Row{Service: service, Kind: kind, Latencies: loader.NewHistogram()}
		}
		return rows[k]
	}
	for _, result := range results {
		for _, r := range result.Requests {
			row(r.Service, r.Kind).add(r)
		}
	}
	probes := map[string]int{}
	for _, e := range events {
		switch e.Type {
		case recorder.Begin:
			row(e.Service, e.Kind).Runs++
		case recorder.Probe:
			probes[e.Service]++
		}
	}
	var sorted []Row
	for _, r := range rows {
		sorted = append(sorted, *r)
	}
	slices.SortFunc(sorted, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	for i := range sorted {
		sorted[i].Probes = probes[sorted[i].Service]
		delete(probes, sorted[i].Service)
	}
	return sorted
}

// Print writes the rows as a table, then the findings.
func (v *Verdict) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tcount\tp50\tp99\tp99.9\trefused\tunknown\tfailed\tretried\truns\tprobes\t")
	for i := range v.Rows {
		r := &v.Rows[i]
		fmt.Fprintf(t, "%s/%s\t%d\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.Service, r.Kind, r.Count,
			milliseconds(r.Percentile(50)), milliseconds(r.Percentile(99)), milliseconds(r.Percentile(99.9)),
			r.Rejected, r.Unknown, r.Failed, r.Retried, r.Runs, r.Probes)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, f := range v.Findings {
		fmt.Fprintln(w, "violation:", f)
	}
	return nil
}

// milliseconds formats a duration in milliseconds.
func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}
