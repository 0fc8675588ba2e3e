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
	// Description says what the metric measures and what an unusual value means.
	Description string
}

// Metrics describes all metrics of an instance on a platform.
var Metrics = []Metric{
	{"requests", []string{"service", "outcome"}, "Requests by outcome. Many `refused`: too little free capacity. Many `unknown`: targets close connections before the response is complete. `not_ready`: the instance has no configuration yet. `relayed`: another instance responded, because this one is cut off from all targets."},
	{"attempts", []string{"service", "effect"}, "Attempts by effect. `done`: the response is complete. `lost`: the request was sent, but no complete response arrived. `unsent`: nothing was sent. `disowned`: the target did not execute the request."},
	{"refusals", []string{"service", "reason"}, "Requests for which no target was chosen, by reason. `targetless`: no run of the service is listed or all are leaving or in emptied zones, or the request was already tried at all of them. `overdue`: no start can meet the deadline. `crowded`: the requests ahead take longer to start than the request can wait. `roomless`: no target has a free slot for a hedge. `limited`: the targets that are left take no further request in time, by the limits that they name, their pauses and the permits for cold ones. `cut`: the instance can reach no target. `stopping`: the instance stops before the request could end."},
	{"deferrals", []string{"service", "route", "cause"}, "Requests that left a free slot to others because the service is short of room, by cause, each counted once. `late`: the request can no longer meet its latency objective. `outranked`: requests of a more urgent priority use the service too."},
	{"wait_seconds", nil, "Time that a request waits for a target."},
	{"latency_seconds", nil, "Time from the arrival of a request to its end."},
	{"report_age_seconds", nil, "Age of the load report that a choice used. Values above 6 ms, the age up to which a report counts as fresh, mean that choices use old reports."},
	{"responses_streamed", nil, "Large responses that were passed on to the client while they arrived."},
	{"responses_cut", []string{"service", "cause"}, "Streamed responses that ended early. `client`: the client has left or does not read. `deadline`: the time of the request is over. `unread`: the target broke off what a slow client left unread. `target`: the target broke off."},
	{"silent_connections", []string{"service"}, "Requests that a target dropped without a response: it reports fewer requests than this instance alone has sent to it. Its connection is not used again."},
	{"body_bytes", nil, "Memory that the bodies of requests and responses hold. At half of the instance's memory, requests are refused."},
	{"waiting", []string{"service"}, "Requests that are waiting for a target."},
	{"retries_left", []string{"service"}, "Retries and hedges that the budget would grant now. At 0, a request is not retried after a failed attempt, unless nothing of that attempt was sent."},
	{"retries", []string{"service", "result"}, "Retries and hedges that the budget `granted` or `withheld`."},
	{"sharers", nil, "Instances among which this one divides the budgets of the fleet. If it is far below the number of instances for seconds after a start, this one reaches few others."},
	{"probes", nil, "Probes that were sent to ask targets for their load."},
	{"probes_withheld", nil, "Probes that were not sent because this instance's share of the probe budget was used up."},
	{"probes_failed", nil, "Probes that got no answer, or one with a status other than 200."},
	{"probes_refused", nil, "Probes and checks of the links that were not sent because their target takes none from this instance now: it is paused, or names a limit."},
	{"limited_answers", []string{"service", "purpose"}, "Responses of targets that name a limit on the requests that they take, by the purpose of the message that they answer, `request` or `probe`. The target counts both."},
	{"permits", []string{"service", "result"}, "Requests for a permit to send to a target that names a limit or is cold. `withheld`: its rate allows no further message at that moment, and the request goes elsewhere or waits."},
	{"statements", []string{"service", "kind"}, "Responses in which a target says something of itself, by kind. `leaving`: it takes no new requests. `pause`: it wants nothing from this instance for some time. `cold`: it stays cold for another time than was known. `misread`: a value that cannot be read. Limits are in `limited_answers`."},
	{"targets_paused", nil, "Runs of targets that want nothing from this instance now."},
	{"targets_cold", nil, "Runs of targets that get requests by the permits of their warm-up only, in this instance's view."},
	{"targets_limited", nil, "Runs of targets that name a limit, in this instance's view."},
	{"statuses_replaced", []string{"service"}, "Responses with status 408, 421, 429 or 503 in whose place the client got 502. The status would have told it that its request had not run, but a target has run it, or may have."},
	{"grants_revoked", []string{"service"}, "Requests that were not sent to the target that was chosen for them, because it became unusable in between; another one is chosen."},
	{"zones_emptied", nil, "Availability zones that an operator has emptied, in this instance's view. If instances differ for long, one of them does not receive updates."},
	{"emptied_requests", nil, "This instance's requests in progress at targets of emptied zones. 0 on all instances: the zones are empty."},
	{"searches_abroad", nil, "Searches for free slots in a remote zone, by asking an instance there."},
	{"targets_lent", nil, "Targets with free slots that were offered to remote zones."},
	{"target_connections_opened", nil, "Connections opened to targets. If it grows as fast as the number of attempts, targets close the connection after each response."},
	{"target_contacts", []string{"result"}, "First exchanges of connections to targets. Only `unanswered` ones, at several targets: the instance is cut off from the targets, also if connections that are already open still work."},
	{"target_connections", nil, "Open connections to targets."},
	{"client_connections", nil, "Open connections from clients."},
	{"client_requests", nil, "Requests of clients that were read and are not answered yet."},
	{"ready", nil, "1 while the instance accepts clients, otherwise 0."},
	{"settings_version", nil, "Version of the operators' configuration in force. If two instances have different versions for long, one of them does not receive updates."},
	{"targets", []string{"service", "state"}, "Runs of targets by state in this instance's view. `emptied`: usable, but an operator has emptied their zone."},
	{"members", []string{"state"}, "Other instances by state in this instance's view."},
	{"capacity", nil, "Requests per second that this instance can carry, by its settings and by what requests cost here. 0: the settings lack `limits.cpuShare`, `limits.cpuCores` or `limits.linkMbps`."},
	{"ease", nil, "Part of its capacity with which this instance asks to be counted. Below 1 it is choked: its processor or link is nearly used up, or its steps are delayed. Callers are told of it less often, if the instances of the fleet differ."},
	{"request_cpu_seconds", nil, "Processor time per request, the instance's other work included."},
	{"request_bytes", nil, "Bytes written to clients per request."},
	{"members_earlier", nil, "Live instances that run an earlier build, which reads less from the platform. Anything but 0 is expected only during an upgrade."},
	{"configurations_refused", nil, "Configurations of the operators that cannot be used; the last valid one stays in force. The log line `configuration refused` names the resource and the field."},
	{"platform_calls", []string{"call", "result"}, "Calls to the platform by result. `refused`: the platform rejected the call. `unreachable`: no complete response."},
	{"peer_messages", []string{"direction", "kind"}, "Messages exchanged with other instances."},
	{"peer_bytes", []string{"direction", "kind"}, "Bytes of the messages exchanged with other instances."},
	{"peer_refused", []string{"cause"}, "Frames from peers that were rejected."},
	{"peer_unknown", []string{"what"}, "Messages (`message`), types of packets (`packet`), topics of rumors (`topic`) and kinds of documents (`document`) from peers that this build does not know. They are ignored. Anything but 0 is expected only while a later build runs beside this one."},
	{"peer_changes", []string{"state"}, "Changes of the state of other instances in this instance's view, by new state."},
	{"lines_omitted", nil, "Log lines that were omitted: the reader of the logs is too slow, or one kind of line is too frequent."},
}

// Print writes the reference page of the metrics.
func Print(w io.Writer) error {
	b := &strings.Builder{}
	b.WriteString("# Metrics\n\nPrinted by `oriolecourse counters` from the table in the code. The page `/metrics` has\nthem in the Prometheus text format, each with `oriolecourse_` before its name, and\n`/metrics/runtime` those of the Go runtime. `/debug/pprof/` beside them serves profiles.\n\n")
	b.WriteString("| name | tags | meaning |\n| --- | --- | --- |\n")
	for _, m := range Metrics {
		b.WriteString("| `" + m.Name + "` | " + strings.Join(m.Tags, ", ") + " | " + m.Description + " |\n")
	}
	_, err := io.WriteString(w, b.String())
	return trace.Wrap(err)
}
