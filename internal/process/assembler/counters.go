package assembler

import (
	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/request/handler"
)

// ending names how a request ended.
type ending struct {
	kind  handler.OutcomeKind
	cause handler.Cause
}

// counters counts requests by ending. It is not modified after newCounters.
type counters map[ending]tally.Counter

func newCounters(scope tally.Scope) counters {
	c := counters{}
	add := func(k handler.OutcomeKind, cause handler.Cause) {
		tags := map[string]string{"outcome": string(k), "cause": string(cause)}
		c[ending{kind: k, cause: cause}] = scope.Tagged(tags).Counter("requests")
	}
	add(handler.Done, handler.CauseNone)
	for _, r := range handler.CauseInfos {
		add(handler.NotExecuted, r.Cause)
		add(handler.Unknown, r.Cause)
	}
	return c
}

func (c counters) count(o *handler.Outcome) {
	if n := c[ending{kind: o.Kind, cause: o.Cause}]; n != nil {
		n.Inc(1)
	}
}
