package journaler

import (
	"io"
	"strings"

	"github.com/gravitational/trace"
)

// LineKind describes one kind of log line of an instance on a platform.
type LineKind struct {
	// Message is the value of msg.
	Message string
	// Event says what the line reports.
	Event string
	// Fields are the names of the fields that the line has besides the common ones.
	Fields []string
}

// LineKinds describes all kinds of lines.
var LineKinds = []LineKind{
	{"started", "The process has started.", []string{"build", "front", "peer", "zone"}},
	{"peers asked", "A starting instance has asked its seeds for documents and rumors.", []string{"reached"}},
	{"ready", "The instance starts to accept clients.", []string{"after", "settings", "targets"}},
	{"stopping", "The instance was asked to stop.", []string{"busy", "connections"}},
	{"reading ended", "A stopping instance accepts no connection and reads no request any more.", []string{"after", "busy", "connections"}},
	{"left", "The instance has left: all its requests have ended, or the grace period is over.", []string{"after", "busy"}},
	{"stopped", "The process ends.", []string{"err"}},
	{"settings reloaded", "The instance has read and applied its settings file again.", []string{"cause"}},
	{"settings refused", "The settings file has faults; the last valid settings stay in force.", []string{"cause", "err"}},
	{"settings not read", "The settings file cannot be read.", []string{"path", "err"}},

	{"settings in force", "A version of the operators' configuration came into force.", []string{"version", "routes", "services"}},
	{"configuration refused", "The operators' configuration cannot be used; the last valid one stays in force.", []string{"revision", "err"}},
	{"unknown route type", "A route of the configuration has a type that is not known; its requests are sent at most once.", []string{"route", "type", "version"}},
	{"document rejected", "A document from the platform or from a peer has faults.", []string{"version", "err"}},
	{"document not pulled", "A document that a peer holds could not be fetched.", []string{"kind", "peer", "err"}},
	{"targets listed", "A revision of the target list came into force.", []string{"version", "runs", "unsettled", "grace", "dropped"}},
	{"target changed", "The instance's view of a run of a target has changed.", []string{"target", "service", "address", "zone", "state", "before", "new", "cause"}},
	{"zone emptied", "An operator has emptied an availability zone: its targets get no new requests from now on.", []string{"zone", "version", "runs", "busy"}},
	{"zone taken back", "An operator has taken an emptied availability zone back: its targets get requests again, as cold ones.", []string{"zone", "version", "runs", "busy"}},
	{"entry ignored", "An entry of the target list does not describe a valid target.", []string{"key", "revision", "err"}},
	{"platform lost", "Calls to the platform start to fail.", []string{"err"}},
	{"platform back", "Calls to the platform succeed again.", nil},
	{"store returned from a copy", "The platform's store has returned from a copy that may lack what was written last; its revisions begin anew after the copy's. before is the revision that this reader held.", []string{"era", "revision", "before"}},
	{"reader changed", "The instance starts or stops reading from the platform for its zone.", []string{"reading"}},
	{"member changed", "The instance's view of another instance of its zone has changed.", []string{"peer", "incarnation", "state", "before", "leaving", "cut", "new"}},
	{"sharers changed", "The number of known instances, among which this one divides the budgets of the fleet, has changed by a quarter or more.", []string{"sharers", "was"}},
	{"rumor ignored", "A peer sent a rumor with a topic that is not used on a platform.", []string{"topic"}},

	{"placed", "A target was chosen for an attempt of a request.", []string{"request", "service", "target", "address", "waited", "expected", "age", "busy", "late", "abroad", "attempt", "version"}},
	{"not placed", "No target was chosen for a request.", []string{"request", "service", "reason", "extra", "waited", "return"}},
	{"not sent", "The target became unusable after it was chosen and before the request was sent to it; another one is chosen.", []string{"request", "service", "target"}},
	{"second try", "A request takes much longer than expected; the instance looks for another target for a hedge (a copy of the request).", []string{"request", "service", "after"}},
	{"attempt failed", "A target sent no complete response, did not execute the request, or responded with a status of 500 or above.", []string{"request", "service", "target", "effect", "status", "took", "err"}},
	{"status replaced", "The status of a response says that the request has not run, but a target has run it, or may have. The client gets 502 in its place. Without a target, another instance sent the response.", []string{"request", "service", "target", "status"}},
	{"target silent", "A target has dropped a request without a response, as targets of some services do when they are full.", []string{"request", "service", "target", "after"}},
	{"response cut", "A large response ended early after its first part was passed to the client.", []string{"request", "service", "target", "cause", "took", "err"}},
	{"held back", "A request that is suspected of crashing targets was not sent to one.", []string{"request", "verdict", "service", "return"}},
	{"no route", "No route matches a request.", []string{"request", "host", "path", "version"}},
	{"malformed request", "A request has no identifier, or its deadline is not a valid number of milliseconds.", []string{"request", "host", "path", "err"}},
	{"request ended", "The response for the client is ready, or the client has left.", []string{"request", "service", "outcome", "status", "took"}},
	{"client failed", "A client connection ended with a protocol error.", []string{"client", "status", "err"}},
	{"limit changed", "A target names another limit on the requests per second that it takes from all instances, or none any more.", []string{"service", "target", "address", "limit", "before"}},
	{"target paused", "A target turned a request away and wants nothing from this instance for some time.", []string{"service", "target", "address", "left"}},
	{"warm-up changed", "A health response of a target says that it stays cold for another time than was known.", []string{"service", "target", "left"}},
	{"statement ignored", "A response of a target has a value that cannot be read; it counts as missing. Each field is logged once for each target.", []string{"service", "target", "field", "value"}},
	{"owner silent", "The instance that counts the messages to a limited or cold target did not answer a request for a permit.", []string{"target", "peer", "err"}},
	{"cut off from targets", "None of several targets of a service responded on a new connection, and none on another one. Other instances serve the requests.", []string{"service", "asked"}},
	{"targets back", "A target of the service responded again after a cut.", []string{"service"}},
	{"relay refused", "A request that another instance relayed has no valid route.", []string{"err"}},
	{"not relayed", "An instance did not take a request that this one cannot serve itself.", []string{"peer", "err"}},
	{"probe failed", "A target did not answer a probe, or answered with a status other than 200.", []string{"service", "target", "address", "status", "err"}},
	{"zone silent", "An instance in a remote zone did not answer a request for targets with free slots.", []string{"zone", "peer", "err"}},
	{"lines omitted", "Lines of one kind were omitted in the last second.", []string{"kind", "count"}},
}

// Fields describes the fields that all lines have and most fields of the lines about
// requests. If a field has different meanings in different lines, its description gives
// all of them.
var Fields = []struct{ Name, Description string }{
	{"time", "time of day at the instance; it may jump"},
	{"up", "monotonic time since the process started"},
	{"instance", "name of the instance"},
	{"level", "debug, info, warn or error"},
	{"request", "identifier that the client gave to this sending of the request"},
	{"service", "service of the targets"},
	{"target", "run of a target: its identifier and its start in milliseconds of Unix time"},
	{"address", "address of the target"},
	{"build", "commit of the program, with + if its sources were changed"},
	{"zone", "availability zone"},
	{"waited", "time since the arrival of the request"},
	{"expected", "expected duration of the request at the target"},
	{"age", "age of the load report that the choice used"},
	{"busy", "estimated number of requests at the target before this one; at a stop, number of requests in progress; for a zone, number of this instance's requests in progress at its targets"},
	{"late", "whether the request can no longer meet its latency objective"},
	{"abroad", "whether the target is in a remote availability zone"},
	{"attempt", "number of the attempt at a target, starting at 1"},
	{"version", "version and digest of the document that came into force or was rejected; for a request, version of the configuration that was used to route it"},
	{"type", "type of the route as the configuration names it"},
	{"reason", "why no target was chosen: targetless (no run of the service is listed or all are leaving or in emptied zones, or the request was already tried at all of them), overdue (no start can meet the deadline), crowded (the requests ahead take longer to start than the request can wait), roomless (no target has a free slot for a hedge), limited (the targets that are left take no further request in time, by the limits that they name, their pauses and the permits for cold ones), cut (the instance can reach no target), stopping (the instance stops before the request could end)"},
	{"extra", "whether the target was for a hedge of a request that already runs at another target"},
	{"return", "how long the client is asked to wait before it retries"},
	{"effect", "what is known of the attempt: unsent (nothing was sent to the target), disowned (the target did not execute the request), done (the response is complete), lost (the request was sent, but no complete response arrived; the target may have executed it)"},
	{"outcome", "answered (response with a status below 500), failed (response with a status of 500 or above, or 502 in place of one that would say that the request has not run), refused (rejected; no target has executed the request), unknown (no complete response; a target may have executed the request), timed_out (no response in time; a target may have executed the request), client_left, no_route, malformed, not_ready (no configuration yet), quarantined (the request was held back), relayed (another instance responded, because this one is cut off from all targets), unreached (this instance is cut off from all targets and the one that relayed the request tries another)"},
	{"status", "HTTP status; 0 without a response"},
	{"took", "time from the arrival of the request, or from the start of the attempt, to the end"},
	{"state, before", "state after the change and state before it; before is also the limit before the change, and the revision before the store returned from a copy"},
	{"sharers, was", "number of instances after and before the change, this one included"},
	{"limit", "requests per second that the target takes from all instances together; +Inf without a limit"},
	{"left", "how long the target wants nothing more from this instance, or stays cold"},
	{"field, value", "name and value of the header field"},
	{"cause", "who reported it, or what caused it; for a response that was cut off: client (it has left or does not read), deadline, unread (the target broke off what a slow client left unread), target"},
	{"err", "the error"},
}

// Print writes the reference page of the log lines.
func Print(w io.Writer) error {
	b := &strings.Builder{}
	b.WriteString("# Log lines\n\nPrinted by `oriolecourse logs` from the table in the code. Lines are logfmt on standard\noutput; `msg` names the kind.\n\n")
	b.WriteString("| msg | event | fields |\n| --- | --- | --- |\n")
	for _, l := range LineKinds {
		b.WriteString("| " + l.Message + " | " + l.Event + " | " + strings.Join(l.Fields, ", ") + " |\n")
	}
	b.WriteString("\n| field | meaning |\n| --- | --- |\n")
	for _, f := range Fields {
		b.WriteString("| " + f.Name + " | " + f.Description + " |\n")
	}
	_, err := io.WriteString(w, b.String())
	return trace.Wrap(err)
}
