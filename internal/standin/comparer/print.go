package comparer

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Print writes two tables: the latencies by kind, then the resource usage by group.
func (c *Comparison) Print(w io.Writer) error {
	slices.SortStableFunc(c.groups, func(a, b *group) int { return cmp.Compare(a.scene, b.scene) })
	fmt.Fprintf(w, "milliseconds, divided by the stretch of %g; the first %s of each load do not count\n\n", c.TimeScale, c.Warmup)
	if err := c.printLatencies(w); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return c.printUsage(w)
}

// newTable returns a writer of aligned columns and writes the column headings.
func newTable(w io.Writer, headings ...string) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, strings.Join(headings, "\t")+"\t")
	return t
}

// printLatencies writes one row for each scene, policy and kind.
func (c *Comparison) printLatencies(w io.Writer) error {
	t := newTable(w, "scene", "policy", "kind", "count", "p50", "p99", "p99.9", "not done", "attempts/request")
	for _, g := range c.groups {
		for _, k := range g.kinds {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%.3f\t\n", g.scene, g.policy, k.name, k.count,
				c.percentile(k, 50), c.percentile(k, 99), c.percentile(k, 99.9),
				k.unsuccessful, float64(k.attempts)/float64(k.count))
		}
	}
	return t.Flush()
}

// printUsage writes the resource usage, with one row for each scene and policy. The rate
// of probes is multiplied by TimeScale, since the benchmark lengthens the window of the
// probe budget, which is a setting. The intervals of platform calls are not settings and
// keep their length, so the rate of these calls is printed as measured.
func (c *Comparison) printUsage(w io.Writer) error {
	t := newTable(w, "scene", "policy", "loads", "requests", "runs/request", "hedges/request", "retries/request",
		"probes/s", "platform calls/s", "core/instance", "control B/s/instance")
	for _, g := range c.groups {
		requests, seconds := float64(g.requests), g.duration.Seconds()
		u := g.usage
		instances := max(1, float64(u.Instances)/float64(g.results))
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.3f\t%.4f\t%.4f\t%.2f\t%.2f\t%.2f%%\t%.0f\t\n", g.scene, g.policy,
			g.results, g.requests, float64(u.Runs)/requests, float64(u.Hedges)/requests, float64(u.Retries)/requests,
			float64(u.Probes)/seconds*c.TimeScale, float64(u.Calls)/seconds,
			100*u.CPUTime.Seconds()/seconds/instances, float64(u.Bytes)/seconds/instances)
	}
	return t.Flush()
}

// percentile formats a latency percentile in milliseconds, divided by TimeScale. It
// returns "-" if no request of the kind succeeded.
func (c *Comparison) percentile(k *kind, quantile float64) string {
	if k.latencies.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(k.latencies.ValueAtQuantile(quantile))/1000/c.TimeScale)
}
