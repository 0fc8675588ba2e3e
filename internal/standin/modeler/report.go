package modeler

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/wcharczuk/go-chart/v2"
)

// Row holds the means of all seeds for one workload and one strategy.
type Row struct {
	Workload, Strategy string
	// WithinObjective, Served and Rejected are shares of all requests.
	WithinObjective, Served, Rejected float64
	// Wait is in milliseconds per request, Probes in probes per request, Remote is the
	// share of requests that were sent to another zone.
	Wait, Probes, Remote float64
}

// Simulate runs each workload with each strategy, once for each seed from 1 to seeds.
func Simulate(workloads []Workload, strategies []Strategy, seeds int) []Row {
	var rows []Row
	for _, l := range workloads {
		for _, s := range strategies {
			r := Row{Workload: l.Name, Strategy: s.Name}
			for seed := range seeds {
				result := s.Simulate(l, int64(seed+1))
				n := float64(max(result.Requests, 1)) * float64(seeds)
				r.WithinObjective += result.ObjectiveShare() / float64(seeds)
				r.Served += result.ServedShare() / float64(seeds)
				r.Rejected += float64(result.Rejected) / n
				r.Wait += result.Wait.Seconds() * 1000 / n
				r.Probes += float64(result.Probes) / n
				r.Remote += float64(result.Remote) / n
			}
			rows = append(rows, r)
		}
	}
	return rows
}

// Print writes the rows as a table.
func Print(rows []Row, w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "load\tway\tin objective\tserved\trefused\twait ms\tprobes\tabroad")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%.3f\n", r.Workload, r.Strategy, r.WithinObjective, r.Served, r.Rejected, r.Wait, r.Probes, r.Remote)
	}
	return trace.Wrap(t.Flush())
}

// Plot writes a bar chart in SVG of the share of requests that met their objective.
func Plot(rows []Row, w io.Writer) error {
	c := chart.BarChart{Title: "requests within their objective", Width: 60 + 60*len(rows), Height: 480, BarWidth: 40}
	for _, r := range rows {
		c.Bars = append(c.Bars, chart.Value{Value: r.WithinObjective, Label: r.Workload + " / " + r.Strategy})
	}
	c.YAxis.Range = &chart.ContinuousRange{Min: 0, Max: 1}
	c.XAxis.TextRotationDegrees = 60
	return trace.Wrap(c.Render(chart.SVG, w))
}
