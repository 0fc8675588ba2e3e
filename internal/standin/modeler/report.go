package modeler

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/wcharczuk/go-chart/v2"
)

// Row is the mean of several plays of a load by one way.
type Row struct {
	Load, Way string
	// Objective and Served are parts of all requests.
	Objective, Served, Refused float64
	// Wait is in milliseconds per request, Probes in probes per request.
	Wait, Probes, Abroad float64
}

// Simulate plays each load by each way over seeds from 1 on.
func Simulate(loads []Workload, ways []Way, seeds int) []Row {
	var rows []Row
	for _, l := range loads {
		for _, way := range ways {
			r := Row{Load: l.Name, Way: way.Name}
			for seed := range seeds {
				x := way.Play(l, int64(seed+1))
				n := float64(max(x.Requests, 1)) * float64(seeds)
				r.Objective += x.Share() / float64(seeds)
				r.Served += x.Served() / float64(seeds)
				r.Refused += float64(x.Refused) / n
				r.Wait += x.Wait.Seconds() * 1000 / n
				r.Probes += float64(x.Probes) / n
				r.Abroad += float64(x.Abroad) / n
			}
			rows = append(rows, r)
		}
	}
	return rows
}

// Print writes rows as a table.
func Print(rows []Row, w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "load\tway\tin objective\tserved\trefused\twait ms\tprobes\tabroad")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%.3f\n", r.Load, r.Way, r.Objective, r.Served, r.Refused, r.Wait, r.Probes, r.Abroad)
	}
	return trace.Wrap(t.Flush())
}

// Plot draws the parts that met their objective as an SVG.
func Plot(rows []Row, w io.Writer) error {
	c := chart.BarChart{Title: "requests within their objective", Width: 60 + 60*len(rows), Height: 480, BarWidth: 40}
	for _, r := range rows {
		c.Bars = append(c.Bars, chart.Value{Value: r.Objective, Label: r.Load + " / " + r.Way})
	}
	c.YAxis.Range = &chart.ContinuousRange{Min: 0, Max: 1}
	c.XAxis.TextRotationDegrees = 60
	return trace.Wrap(c.Render(chart.SVG, w))
}
