package meter

import (
	"io"
	"strings"

	"github.com/gravitational/trace"
)

// Metric describes one counter, gauge or histogram of an instance on a platform.
type Metric struct {
	// Name is its name on the page without the program's name, which stands before
	// each, and without what the format adds to the name of a histogram.
	Name string
	Tags []string
	// Tells is what it counts and what to look for.
	Tells string
}

// Metrics are all that an instance on a platform counts.
var Metrics = []Metric{
	{"requests", []string{"service", "outcome"}, "Requests by their end. `refused`: too little room. `unknown`: targets break off. `not_ready`: no configuration yet."},
	{"attempts", []string{"service", "effect"}, "What became of each try at a target: `lost`, `unsent`, `disowned` beside `done`."},
	{"refusals", []string{"service", "reason"}, "`overdue`: no start could be in time. `targetless`: no run is listed."},
	{"wait_seconds", nil, "Waiting for a target."},
	{"latency_seconds", nil, "The whole request."},
	{"report_age_seconds", nil, "Age of the report behind a choice. Above 6 ms: choices rest on old reports."},
	{"waiting", []string{"service"}, "Requests that wait for a target now."},
	{"retries_left", []string{"service"}, "Further attempts that the budget grants now. 0: failed attempts end requests."},
	{"probes", nil, "Targets that were asked for their load."},
	{"probes_withheld", nil, "Probes that were not sent, since this instance's share of the budget is used up."},
	{"probes_failed", nil, "Probes without a usable answer."},
	{"searches_abroad", nil, "Questions to instances of other zones for room there."},
	{"targets_lent", nil, "Targets with room that were named to other zones."},
	{"target_connections_opened", nil, "Rises with every request: targets close connections."},
	{"target_connections", nil, "Open connections to targets."},
	{"client_connections", nil, "Open connections of clients."},
	{"client_requests", nil, "Requests that are read and not answered."},
	{"ready", nil, "1 while the instance takes clients."},
	{"settings_version", nil, "Version of the operators' configuration in force. Differs between instances: one is cut off."},
	{"targets", []string{"service", "state"}, "Runs of targets by what is believed of them."},
	{"members", []string{"state"}, "Other instances by what is believed of them."},
	{"platform_calls", []string{"call", "result"}, "Calls to the platform by their end. `refused`: it turned the call away. `unreachable`: no answer."},
	{"peer_messages", []string{"direction", "kind"}, "Messages between instances."},
	{"peer_bytes", []string{"direction", "kind"}, "Their bytes."},
	{"peer_refused", []string{"cause"}, "Frames that were not taken."},
	{"peer_changes", []string{"state"}, "Changes of what is believed of other instances."},
	{"lines_omitted", nil, "Log lines left out: the reader of the logs is too slow, or a kind of line too frequent."},
}

// Print writes the reference page of the counters.
func Print(w io.Writer) error {
	b := &strings.Builder{}
	b.WriteString("# Counters\n\nPrinted by `oriolecourse counters` from the records in the code. The page `/metrics` has\nthem in the Prometheus text format, each with `oriolecourse_` before its name, and the\nfigures of the Go runtime.\n\n")
	b.WriteString("| name | tags | tells |\n| --- | --- | --- |\n")
	for _, r := range Metrics {
		b.WriteString("| `" + r.Name + "` | " + strings.Join(r.Tags, ", ") + " | " + r.Tells + " |\n")
	}
	_, err := io.WriteString(w, b.String())
	return trace.Wrap(err)
}
