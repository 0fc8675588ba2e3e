package meter

import (
	"io"
	"strings"

	"github.com/gravitational/trace"
)

// Metric describes one counter, gauge or histogram of an instance on a platform.
type Metric struct {
	// Name is the name on the scraped page, without the prefix "oriolecourse_" and
	// without the suffixes that the format adds to the name of a histogram.
	Name string
	Tags []string
	// Description says what the metric counts and what a striking value means.
	Description string
}

// Metrics describes all metrics of an instance on a platform.
var Metrics = []Metric{
	{"requests", []string{"service", "outcome"}, "Requests by outcome. `refused`: too little free capacity. `unknown`: targets break off. `not_ready`: no configuration yet."},
	{"attempts", []string{"service", "effect"}, "Attempts by effect: `done`, `lost`, `unsent`, or `disowned` if the target did not execute the request."},
	{"refusals", []string{"service", "reason"}, "Requests for which no target was chosen. `overdue`: no start can meet the deadline. `targetless`: no run can be used."},
	{"wait_seconds", nil, "Time that a request waits for a target."},
	{"latency_seconds", nil, "Time from the arrival of a request to its end."},
	{"report_age_seconds", nil, "Age of the load report that a choice used. Above 6 ms: choices use old reports."},
	{"waiting", []string{"service"}, "Requests that are waiting for a target."},
	{"retries_left", []string{"service"}, "Retries and hedges that the budget would grant now. 0: a request whose attempt fails is not retried."},
	{"probes", nil, "Probes that were sent to ask targets for their load."},
	{"probes_withheld", nil, "Probes that were not sent because this instance's share of the probe budget was used up."},
	{"probes_failed", nil, "Probes that got no answer, or one with a status other than 200."},
	{"searches_abroad", nil, "Searches for free slots in a remote zone, by asking an instance there."},
	{"targets_lent", nil, "Targets with free slots that were offered to remote zones."},
	{"target_connections_opened", nil, "Connections opened to targets. One more for every request: targets close their connections."},
	{"target_connections", nil, "Open connections to targets."},
	{"client_connections", nil, "Open connections from clients."},
	{"client_requests", nil, "Requests of clients that were read and are not answered yet."},
	{"ready", nil, "1 while the instance accepts clients, otherwise 0."},
	{"settings_version", nil, "Version of the operators' configuration in force. Different versions at two instances: one of them is cut off."},
	{"targets", []string{"service", "state"}, "Runs of targets by state in this instance's view."},
	{"members", []string{"state"}, "Other instances by state in this instance's view."},
	{"platform_calls", []string{"call", "result"}, "Calls to the platform by result. `refused`: the platform rejected the call. `unreachable`: no response."},
	{"peer_messages", []string{"direction", "kind"}, "Messages exchanged with other instances."},
	{"peer_bytes", []string{"direction", "kind"}, "Bytes of these messages."},
	{"peer_refused", []string{"cause"}, "Frames from peers that were rejected."},
	{"peer_changes", []string{"state"}, "Changes of the state of other instances in this instance's view, by new state."},
	{"lines_omitted", nil, "Log lines that were omitted: the reader of the logs is too slow, or a kind of line too frequent."},
}

// Print writes the reference page of the metrics.
func Print(w io.Writer) error {
	b := &strings.Builder{}
	b.WriteString("# Counters\n\nPrinted by `oriolecourse counters` from the records in the code. The page `/metrics` has\nthem in the Prometheus text format, each with `oriolecourse_` before its name, and the\nmetrics of the Go runtime.\n\n")
	b.WriteString("| name | tags | meaning |\n| --- | --- | --- |\n")
	for _, r := range Metrics {
		b.WriteString("| `" + r.Name + "` | " + strings.Join(r.Tags, ", ") + " | " + r.Description + " |\n")
	}
	_, err := io.WriteString(w, b.String())
	return trace.Wrap(err)
}
