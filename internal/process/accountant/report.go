package accountant

import (
	"encoding/json"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Duration is a time.Duration that is written as text such as "1.5s" in JSON.
type Duration time.Duration

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads the duration from text.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return trace.Wrap(err)
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return trace.Wrap(err)
	}
	*d = Duration(parsed)
	return nil
}

// Amounts are the totals of one key.
type Amounts struct {
	Requests    int64    `json:"requests"`
	Done        int64    `json:"done"`
	Unrun       int64    `json:"unrun"`
	Unknown     int64    `json:"unknown"`
	Target      Duration `json:"target"`
	In          int64    `json:"in"`
	Out         int64    `json:"out"`
	Retries     int64    `json:"retries"`
	Hedges      int64    `json:"hedges"`
	Probes      int64    `json:"probes"`
	Connections int64    `json:"connections"`
}

func (a *Amounts) add(b Amounts) {
	a.Requests += b.Requests
	a.Done += b.Done
	a.Unrun += b.Unrun
	a.Unknown += b.Unknown
	a.Target += b.Target
	a.In += b.In
	a.Out += b.Out
	a.Retries += b.Retries
	a.Hedges += b.Hedges
	a.Probes += b.Probes
	a.Connections += b.Connections
}

// tries returns the number of times that targets were asked for something.
func (a Amounts) tries() int64 { return a.Requests + a.Retries + a.Hedges + a.Probes }

// Line holds the totals of one key.
type Line struct {
	Key
	Amounts
}

// Report is what one instance has counted since its start.
type Report struct {
	Instance netip.AddrPort `json:"instance"`
	Zone     string         `json:"zone"`
	Since    time.Time      `json:"since"`
	Until    time.Time      `json:"until"`
	Lines    []Line         `json:"lines"`
	// ControlMessages and Bytes are control traffic, which belongs to no service.
	ControlMessages int64 `json:"messages"`
	ControlBytes    int64 `json:"bytes"`
	// CPUTime is the processor time of the whole process.
	CPUTime Duration `json:"processor"`
}

// Bill is the sum of the reports of several instances.
type Bill struct {
	// Reports is the number of reports that were added up.
	Reports int `json:"reports"`
	// Missing names the instances that were asked and gave no report.
	Missing []string `json:"missing"`
	// Since is the earliest start of a report and Until the latest end.
	Since     time.Time `json:"since"`
	Until     time.Time `json:"until"`
	Lines     []Line    `json:"lines"`
	Messages  int64     `json:"messages"`
	Bytes     int64     `json:"bytes"`
	Processor Duration  `json:"processor"`
}

// Merge adds reports up. Missing names the instances that gave none. A second
// report of an instance counts only if it is the later one.
func Merge(reports []Report, missing []string) Bill {
	latest := make(map[netip.AddrPort]Report, len(reports))
	for _, r := range reports {
		if known, found := latest[r.Instance]; !found || r.Until.After(known.Until) {
			latest[r.Instance] = r
		}
	}
	b := Bill{Reports: len(latest), Missing: append([]string(nil), missing...)}
	sort.Strings(b.Missing)
	totals := make(map[Key]*Amounts)
	for _, r := range latest {
		b.add(r, totals)
	}
	for k, a := range totals {
		b.Lines = append(b.Lines, Line{Key: k, Amounts: *a})
	}
	sortLines(b.Lines)
	return b
}

func (b *Bill) add(r Report, totals map[Key]*Amounts) {
	if b.Since.IsZero() || r.Since.Before(b.Since) {
		b.Since = r.Since
	}
	if r.Until.After(b.Until) {
		b.Until = r.Until
	}
	b.Messages += r.ControlMessages
	b.Bytes += r.ControlBytes
	b.Processor += r.CPUTime
	for _, l := range r.Lines {
		if totals[l.Key] == nil {
			totals[l.Key] = &Amounts{}
		}
		totals[l.Key].add(l.Amounts)
	}
}

func sortLines(lines []Line) {
	sort.Slice(lines, func(i, j int) bool {
		a, b := lines[i].Key, lines[j].Key
		if c := strings.Compare(a.Place, b.Place); c != 0 {
			return c < 0
		}
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c < 0
		}
		return a.Kind < b.Kind
	})
}
