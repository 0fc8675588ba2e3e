package accountant

import (
	"encoding/json"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Duration is a time.Duration that is encoded in JSON as text such as "1.5s".
type Duration time.Duration

// MarshalJSON encodes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes the duration from text.
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

// Amounts holds the values of Counters at one time, or sums of them.
type Amounts struct {
	Requests    int64    `json:"requests"`
	Done        int64    `json:"done"`
	NotExecuted int64    `json:"unrun"`
	Unknown     int64    `json:"unknown"`
	TargetTime  Duration `json:"target"`
	BytesIn     int64    `json:"in"`
	BytesOut    int64    `json:"out"`
	Retries     int64    `json:"retries"`
	Hedges      int64    `json:"hedges"`
	Probes      int64    `json:"probes"`
	Connections int64    `json:"connections"`
}

func (a *Amounts) add(b Amounts) {
	a.Requests += b.Requests
	a.Done += b.Done
	a.NotExecuted += b.NotExecuted
	a.Unknown += b.Unknown
	a.TargetTime += b.TargetTime
	a.BytesIn += b.BytesIn
	a.BytesOut += b.BytesOut
	a.Retries += b.Retries
	a.Hedges += b.Hedges
	a.Probes += b.Probes
	a.Connections += b.Connections
}

// attempts returns the number of requests and probes that were sent to targets.
func (a Amounts) attempts() int64 { return a.Requests + a.Retries + a.Hedges + a.Probes }

// Line holds the amounts of one key.
type Line struct {
	Key
	Amounts
}

// Report holds the costs of one instance since its start.
type Report struct {
	Instance netip.AddrPort `json:"instance"`
	Zone     string         `json:"zone"`
	Since    time.Time      `json:"since"`
	Until    time.Time      `json:"until"`
	Lines    []Line         `json:"lines"`
	// ControlMessages and ControlBytes count the control traffic with peers, which
	// belongs to no service.
	ControlMessages int64 `json:"messages"`
	ControlBytes    int64 `json:"bytes"`
	// CPUTime is the CPU time of the whole process.
	CPUTime Duration `json:"processor"`
}

// Bill is the sum of the reports of several instances.
type Bill struct {
	// Reports is the number of reports in the sum.
	Reports int `json:"reports"`
	// Missing holds the addresses of the instances that were asked for a report but gave
	// none.
	Missing []string `json:"missing"`
	// Since is the earliest start of a report, and Until the latest end.
	Since           time.Time `json:"since"`
	Until           time.Time `json:"until"`
	Lines           []Line    `json:"lines"`
	ControlMessages int64     `json:"messages"`
	ControlBytes    int64     `json:"bytes"`
	CPUTime         Duration  `json:"processor"`
}

// Merge returns the sum of reports. Of several reports of one instance only the latest
// counts. missing holds the addresses of the instances that were asked for a report but
// gave none.
func Merge(reports []Report, missing []string) Bill {
	latest := make(map[netip.AddrPort]Report, len(reports))
	for _, r := range reports {
		if previous, found := latest[r.Instance]; !found || r.Until.After(previous.Until) {
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
	b.ControlMessages += r.ControlMessages
	b.ControlBytes += r.ControlBytes
	b.CPUTime += r.CPUTime
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
