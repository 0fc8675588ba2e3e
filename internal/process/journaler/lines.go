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
	// When tells when it is written.
	When string
	// Fields names the fields that it has beside the common ones.
	Fields []string
}

// LineKinds are all kinds of lines.
var LineKinds = []LineKind{
	{"started", "The process listens.", []string{"front", "peer", "zone"}},
	{"peers asked", "A starting instance has asked its seeds for what they know.", []string{"reached"}},
	{"ready", "The instance takes clients from now on.", []string{"after", "settings", "targets"}},
	{"stopping", "The instance was told to stop.", []string{"busy", "connections"}},
	{"left", "The instance has finished what was under way.", []string{"after", "busy"}},
	{"stopped", "The process ends.", []string{"err"}},
	{"settings reloaded", "The process's settings file was read again.", []string{"cause"}},
	{"settings refused", "The settings file has faults; the last good settings stay.", []string{"cause", "err"}},
	{"settings not read", "The settings file cannot be read.", []string{"path", "err"}},

	{"settings in force", "A version of the operators' configuration came into force.", []string{"version", "routes", "services"}},
	{"configuration refused", "The operators' configuration cannot be used; the last good one stays.", []string{"revision", "err"}},
	{"document rejected", "A document of the platform or of a peer has faults.", []string{"version", "err"}},
	{"document not pulled", "A document that a peer holds could not be fetched.", []string{"kind", "peer", "err"}},
	{"targets listed", "A revision of the list of targets came into force.", []string{"version", "runs", "unsettled"}},
	{"target changed", "What is believed of a run of a target has changed.", []string{"target", "service", "address", "zone", "state", "before", "new", "cause"}},
	{"entry ignored", "An entry of the list names no target.", []string{"key", "revision", "err"}},
	{"platform lost", "A call to the platform failed.", []string{"err"}},
	{"platform back", "A call to the platform succeeded again.", nil},
	{"reader changed", "The instance reads from the platform for its zone, or no longer does.", []string{"reading"}},
	{"member changed", "What is believed of another instance has changed.", []string{"peer", "incarnation", "state", "before", "leaving", "new"}},
	{"rumor ignored", "A peer told something that has no meaning on a platform.", []string{"topic"}},

	{"placed", "A request goes to a target.", []string{"request", "service", "target", "address", "waited", "expected", "age", "busy", "late", "abroad", "attempt", "version"}},
	{"not placed", "A request gets no target.", []string{"request", "service", "reason", "extra", "waited", "return"}},
	{"second try", "A request takes much longer than expected, and another target is tried beside it.", []string{"request", "service", "after"}},
	{"attempt failed", "A target did not answer, or answered with a failure.", []string{"request", "service", "target", "effect", "status", "took", "err"}},
	{"held back", "A request that has crashed its targets is not run.", []string{"request", "verdict", "service", "return"}},
	{"no route", "No route matches a request.", []string{"request", "host", "path", "version"}},
	{"malformed request", "A request has no identifier or no readable deadline.", []string{"request", "host", "path", "err"}},
	{"request ended", "The client gets its answer, or has left.", []string{"request", "service", "outcome", "status", "took"}},
	{"client failed", "A connection of a client ended with an error of the protocol.", []string{"client", "status", "err"}},
	{"probe failed", "A target did not tell its load.", []string{"service", "target", "address", "status", "err"}},
	{"zone silent", "An instance of another zone that was asked for room has not answered.", []string{"zone", "peer", "err"}},
	{"lines omitted", "Lines of a kind were left out in the last second.", []string{"kind", "count"}},
}

// Fields tells what each field holds; it means the same in every line.
var Fields = []struct{ Name, Holds string }{
	{"time", "time of day of the instance; it may jump"},
	{"up", "steady time since the process started"},
	{"instance", "name of the instance"},
	{"level", "debug, info, warn or error"},
	{"request", "identifier of the client's attempt"},
	{"service", "service of the targets"},
	{"target", "run of a target: its identifier and its start in milliseconds of Unix time"},
	{"address", "address of the target"},
	{"zone", "availability zone"},
	{"waited", "time from the arrival of the request"},
	{"expected", "time that the request should take at the target"},
	{"age", "age of the load report that the choice rests on"},
	{"busy", "requests believed to be at the target before this one; requests under way at a stop"},
	{"late", "the latency objective could not be met any more"},
	{"abroad", "the target is in another availability zone"},
	{"attempt", "number of the attempt"},
	{"version", "version and digest of the document in force, or the version that a request was routed by"},
	{"reason", "why a request was not placed: targetless, overdue, crowded, roomless"},
	{"extra", "the request already runs at another target"},
	{"return", "when the client is asked to come back"},
	{"effect", "what is known of an attempt: unsent, disowned, done, lost"},
	{"outcome", "answered, failed, refused, unknown, timed_out, client_left, no_route, malformed, not_ready, quarantined"},
	{"status", "HTTP status; 0 without an answer"},
	{"took", "time from the arrival of the request, or from the start of the attempt, to the end"},
	{"state, before", "state after and before the change"},
	{"cause", "who said so, or what led to it"},
	{"err", "the error"},
}

// Print writes the reference page of the lines.
func Print(w io.Writer) error {
	b := &strings.Builder{}
	b.WriteString("# Log lines\n\nPrinted by `oriolecourse logs` from the records in the code. Lines are logfmt on standard\noutput; `msg` names the kind.\n\n")
	b.WriteString("| msg | when | fields |\n| --- | --- | --- |\n")
	for _, l := range LineKinds {
		b.WriteString("| " + l.Message + " | " + l.When + " | " + strings.Join(l.Fields, ", ") + " |\n")
	}
	b.WriteString("\n| field | holds |\n| --- | --- |\n")
	for _, f := range Fields {
		b.WriteString("| " + f.Name + " | " + f.Holds + " |\n")
	}
	_, err := io.WriteString(w, b.String())
	return trace.Wrap(err)
}
