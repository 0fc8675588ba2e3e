package accountant

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// column is one column of the table.
type column struct {
	title string
	cell  func(Line) string
}

func formatCount(n int64) string { return fmt.Sprintf("%d", n) }

// workColumns are the columns of the work that callers requested.
var workColumns = []column{
	{"requests", func(l Line) string { return formatCount(l.Requests) }},
	{"done", func(l Line) string { return formatCount(l.Done) }},
	{"not run", func(l Line) string { return formatCount(l.NotExecuted) }},
	{"unknown", func(l Line) string { return formatCount(l.Unknown) }},
	{"target time", func(l Line) string { return formatDuration(l.TargetTime) }},
	{"bytes in", func(l Line) string { return formatCount(l.BytesIn) }},
	{"bytes out", func(l Line) string { return formatCount(l.BytesOut) }},
}

// oversightColumns are the columns of the costs that the system added.
var oversightColumns = []column{
	{"probes", func(l Line) string { return formatCount(l.Probes) }},
	{"connections", func(l Line) string { return formatCount(l.Connections) }},
	{"retries", func(l Line) string { return formatCount(l.Retries) }},
	{"second tries", func(l Line) string { return formatCount(l.Hedges) }},
	{"added per 1000 requests", addedPerThousand},
}

// addedPerThousand returns the number of probes, retries and hedges per 1000 requests.
func addedPerThousand(l Line) string {
	if l.Requests == 0 {
		return "-"
	}
	added := l.Probes + l.Retries + l.Hedges
	return fmt.Sprintf("%.1f", 1000*float64(added)/float64(l.Requests))
}

func formatDuration(d Duration) string { return time.Duration(d).Round(time.Millisecond).String() }

// Write writes the bill as tables.
func (b Bill) Write(w io.Writer) error {
	fmt.Fprintf(w, "cost from %s to %s; instances that gave a report: %d\n", formatTime(b.Since), formatTime(b.Until), b.Reports)
	fmt.Fprintln(w, b.missingText())
	lines := b.withTotals()
	if err := writeSection(w, "work: what callers asked for", workColumns, lines); err != nil {
		return trace.Wrap(err)
	}
	if err := writeSection(w, "oversight: what the system added", oversightColumns, lines); err != nil {
		return trace.Wrap(err)
	}
	if err := b.writeCPUTime(w); err != nil {
		return trace.Wrap(err)
	}
	_, err := fmt.Fprintf(w, "\ncontrol traffic of the whole fleet: %d messages, %d bytes\n", b.ControlMessages, b.ControlBytes)
	return trace.Wrap(err)
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return at.UTC().Format(time.RFC3339)
}

// missingText describes the costs that the bill does not include.
func (b Bill) missingText() string {
	const ended = "instances that ended before the reading took their counters with them"
	if len(b.Missing) == 0 {
		return "missing: no live instance; " + ended
	}
	return fmt.Sprintf("missing: %d gave no report (%s); %s",
		len(b.Missing), strings.Join(b.Missing, ", "), ended)
}

// withTotals returns the lines with a total after the lines of each place.
func (b Bill) withTotals() []Line {
	var lines []Line
	for i, l := range b.Lines {
		lines = append(lines, l)
		if i+1 < len(b.Lines) && b.Lines[i+1].Place == l.Place {
			continue
		}
		total := Line{Key: Key{Place: l.Place, Service: "total"}}
		for _, m := range b.Lines {
			if m.Place == l.Place {
				total.add(m.Amounts)
			}
		}
		lines = append(lines, total)
	}
	return lines
}

func writeSection(w io.Writer, title string, columns []column, lines []Line) error {
	fmt.Fprintf(w, "\n%s\n", title)
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	titles := []string{"place", "service", "kind"}
	for _, c := range columns {
		titles = append(titles, c.title)
	}
	fmt.Fprintln(t, strings.Join(titles, "\t"))
	for _, l := range lines {
		cells := []string{l.Place, orDash(l.Service), orDash(l.Kind)}
		for _, c := range columns {
			cells = append(cells, c.cell(l))
		}
		fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	return trace.Wrap(t.Flush())
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// writeCPUTime writes the CPU time by place. The kernel counts CPU time only for the
// whole process, so each place gets a part in proportion to its number of attempts.
func (b Bill) writeCPUTime(w io.Writer) error {
	var total int64
	attempts := make(map[string]int64)
	var order []string
	for _, l := range b.Lines {
		if _, known := attempts[l.Place]; !known {
			order = append(order, l.Place)
		}
		attempts[l.Place] += l.attempts()
		total += l.attempts()
	}
	fmt.Fprintf(w, "\nprocessor time of the instances: %s\n", formatDuration(b.CPUTime))
	for _, place := range order {
		if total == 0 {
			continue
		}
		share := float64(attempts[place]) / float64(total)
		part := Duration(share * float64(b.CPUTime))
		if _, err := fmt.Fprintf(w, "  %s: %s, estimated by its share of all tries (%.1f%%)\n", place, formatDuration(part), 100*share); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
