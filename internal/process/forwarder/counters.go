package forwarder

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// bounds are the bounds of the latency histograms: from the hop itself to the
// longest deadlines.
var bounds = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// counters are the counters of the path of a request.
type counters struct {
	scope       tally.Scope
	connections tally.Counter
	probes      tally.Counter
	withheld    tally.Counter
	silent      tally.Counter
	searches    tally.Counter
	lent        tally.Counter
	waited      tally.Histogram
	latency     tally.Histogram
	age         tally.Histogram
}

func newCounters(s tally.Scope) counters {
	return counters{
		scope:       s,
		connections: s.Counter("target_connections_opened"),
		probes:      s.Counter("probes"),
		withheld:    s.Counter("probes_withheld"),
		silent:      s.Counter("probes_failed"),
		searches:    s.Counter("searches_abroad"),
		lent:        s.Counter("targets_lent"),
		waited:      s.Histogram("wait_seconds", bounds),
		latency:     s.Histogram("latency_seconds", bounds),
		age:         s.Histogram("report_age_seconds", bounds),
	}
}

// ended counts a request by its outcome.
func (c *counters) ended(service string, outcome outcome) {
	c.scope.Tagged(map[string]string{"service": service, "outcome": string(outcome)}).Counter("requests").Inc(1)
}

// attempted counts an attempt by its effect.
func (c *counters) attempted(service, effect string) {
	c.scope.Tagged(map[string]string{"service": service, "effect": effect}).Counter("attempts").Inc(1)
}

// refused counts a refusal by its reason.
func (c *counters) refused(service, reason string) {
	c.scope.Tagged(map[string]string{"service": service, "reason": reason}).Counter("refusals").Inc(1)
}
