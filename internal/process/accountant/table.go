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

func number(n int64) string { return fmt.Sprintf("%d", n) }

// workColumns say what callers asked for.
var workColumns = []column{
	{"requests", func(l Line) string { return number(l.Requests) }},
	{"done", func(l Line) string { return number(l.Done) }},
	{"not run", func(l Line) string { return number(l.Unrun) }},
	{"unknown", func(l Line) string { return number(l.Unknown) }},
	{"target time", func(l Line) string { return rounded(l.Target) }},
	{"bytes in", func(l Line) string { return number(l.In) }},
	{"bytes out", func(l Line) string { return number(l.Out) }},
}

// oversightColumns say what the system added.
var oversightColumns = []column{
	{"probes", func(l Line) string { return number(l.Probes) }},
	{"connections", func(l Line) string { return number(l.Connections) }},
	{"retries", func(l Line) string { return number(l.Retries) }},
	{"second tries", func(l Line) string { return number(l.Hedges) }},
	{"added per 1000 requests", perThousand},
}

// perThousand relates the tries that oversight added to the requests served.
func perThousand(l Line) string {
	if l.Requests == 0 {
		return "-"
	}
	extra := l.Probes + l.Retries + l.Hedges
	return fmt.Sprintf("%.1f", 1000*float64(extra)/float64(l.Requests))
}

func rounded(d Duration) string { return time.Duration(d).Round(time.Millisecond).String() }

// Write prints the bill as tables.
func (b Bill) Write(w io.Writer) error {
	fmt.Fprintf(w, "cost from %s to %s; instances that gave a report: %d\n", stamp(b.Since), stamp(b.Until), b.Reports)
	fmt.Fprintln(w, b.gaps())
	lines := b.withTotals()
	if err := section(w, "work: what callers asked for", workColumns, lines); err != nil {
		return trace.Wrap(err)
	}
	if err := section(w, "oversight: what the system added", oversightColumns, lines); err != nil {
		return trace.Wrap(err)
	}
	if err := b.writeProcessor(w); err != nil {
		return trace.Wrap(err)
	}
	_, err := fmt.Fprintf(w, "\ncontrol traffic of the whole fleet: %d messages, %d bytes\n", b.Messages, b.Bytes)
	return trace.Wrap(err)
}

func stamp(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return at.UTC().Format(time.RFC3339)
}

// gaps says what the bill lacks.
func (b Bill) gaps() string {
	const ended = "instances that ended before the reading took their counters with them"
	if len(b.Missing) == 0 {
		return "missing: no live instance; " + ended
	}
	return fmt.Sprintf("missing: %d gave no report (%s); %s",
		len(b.Missing), strings.Join(b.Missing, ", "), ended)
}

// withTotals adds a line for the sum of each place.
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

func section(w io.Writer, title string, columns []column, lines []Line) error {
	fmt.Fprintf(w, "\n%s\n", title)
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	head := []string{"place", "service", "kind"}
	for _, c := range columns {
		head = append(head, c.title)
	}
	fmt.Fprintln(t, strings.Join(head, "\t"))
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

// writeProcessor splits the processor time by place. The kernel counts it for
// the whole process only, so it is split by the number of tries.
func (b Bill) writeProcessor(w io.Writer) error {
	var all int64
	places := make(map[string]int64)
	var order []string
	for _, l := range b.Lines {
		if _, known := places[l.Place]; !known {
			order = append(order, l.Place)
		}
		places[l.Place] += l.tries()
		all += l.tries()
	}
	fmt.Fprintf(w, "\nprocessor time of the instances: %s\n", rounded(b.Processor))
	for _, place := range order {
		if all == 0 {
			continue
		}
		share := float64(places[place]) / float64(all)
		part := Duration(share * float64(b.Processor))
		if _, err := fmt.Fprintf(w, "  %s: %s, estimated by its share of all tries (%.1f%%)\n", place, rounded(part), 100*share); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
