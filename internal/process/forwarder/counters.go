package forwarder

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// durationBuckets are the bucket bounds of the histograms of latencies, waiting times
// and report ages. They range from 1 ms to 16 s: from the delay that the instance adds
// itself to the longest deadlines.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// counters holds the metrics of client requests, attempts and probes.
type counters struct {
	scope          tally.Scope
	connections    tally.Counter
	probes         tally.Counter
	probesWithheld tally.Counter
	probesFailed   tally.Counter
	probesRefused  tally.Counter
	searches       tally.Counter
	targetsOffered tally.Counter
	streamed       tally.Counter
	wait           tally.Histogram
	latency        tally.Histogram
	reportAge      tally.Histogram
}

func newCounters(s tally.Scope) counters {
	return counters{
		scope:          s,
		connections:    s.Counter("target_connections_opened"),
		probes:         s.Counter("probes"),
		probesWithheld: s.Counter("probes_withheld"),
		probesFailed:   s.Counter("probes_failed"),
		probesRefused:  s.Counter("probes_refused"),
		searches:       s.Counter("searches_abroad"),
		targetsOffered: s.Counter("targets_lent"),
		streamed:       s.Counter("responses_streamed"),
		wait:           s.Histogram("wait_seconds", durationBuckets),
		latency:        s.Histogram("latency_seconds", durationBuckets),
		reportAge:      s.Histogram("report_age_seconds", durationBuckets),
	}
}

// countRequest counts a finished request by its outcome.
func (c *counters) countRequest(service string, outcome outcome) {
	c.scope.Tagged(map[string]string{"service": service, "outcome": string(outcome)}).Counter("requests").Inc(1)
}

// countAttempt counts a finished attempt by its effect on the target.
func (c *counters) countAttempt(service, effect string) {
	c.scope.Tagged(map[string]string{"service": service, "effect": effect}).Counter("attempts").Inc(1)
}

// countLimited counts a response of a target that names a limit, by the purpose of the
// message that it answers.
func (c *counters) countLimited(service, purpose string) {
	c.scope.Tagged(map[string]string{"service": service, "purpose": purpose}).Counter("limited_answers").Inc(1)
}

// countStatement counts a response in which a target says something of itself.
func (c *counters) countStatement(service, kind string) {
	c.scope.Tagged(map[string]string{"service": service, "kind": kind}).Counter("statements").Inc(1)
}

// countPermit counts a request for a permit to send to a limited target.
func (c *counters) countPermit(service string, granted bool) {
	c.countGrant("permits", service, granted)
}

// countRetry counts a retry or hedge that was asked of the budget.
func (c *counters) countRetry(service string, granted bool) {
	c.countGrant("retries", service, granted)
}

// countGrant counts an answer to a question whether something may be sent.
func (c *counters) countGrant(name, service string, granted bool) {
	result := "withheld"
	if granted {
		result = "granted"
	}
	c.scope.Tagged(map[string]string{"service": service, "result": result}).Counter(name).Inc(1)
}

// countCut counts a response that was cut off after its first part, by cause.
func (c *counters) countCut(service, cause string) {
	c.scope.Tagged(map[string]string{"service": service, "cause": cause}).Counter("responses_cut").Inc(1)
}

// countRevoked counts a granted request that was not sent because its target has become
// unusable since.
func (c *counters) countRevoked(service string) {
	c.scope.Tagged(map[string]string{"service": service}).Counter("grants_revoked").Inc(1)
}

// countReplaced counts a response that the client does not get because of its status.
func (c *counters) countReplaced(service string) {
	c.scope.Tagged(map[string]string{"service": service}).Counter("statuses_replaced").Inc(1)
}

// countSilent counts a request that its target has dropped without a response.
func (c *counters) countSilent(service string) {
	c.scope.Tagged(map[string]string{"service": service}).Counter("silent_connections").Inc(1)
}

// countContact counts the first exchange of a connection to a target.
func (c *counters) countContact(answered bool) {
	result := "unanswered"
	if answered {
		result = "answered"
	}
	c.scope.Tagged(map[string]string{"result": result}).Counter("target_contacts").Inc(1)
}

// countRejection counts a rejection by the placer, by its reason.
func (c *counters) countRejection(service, reason string) {
	c.scope.Tagged(map[string]string{"service": service, "reason": reason}).Counter("refusals").Inc(1)
}

// countDeferral counts a request of a route that left a free slot to others, by the cause.
func (c *counters) countDeferral(service, route, cause string) {
	c.scope.Tagged(map[string]string{"service": service, "route": route, "cause": cause}).Counter("deferrals").Inc(1)
}
