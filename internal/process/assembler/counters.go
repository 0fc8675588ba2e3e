package assembler

import (
	"github.com/uber-go/tally/v4"

	"oriolecourse.example/oriolecourse/internal/request/handler"
)

// outcomeKey identifies the counter of an outcome.
type outcomeKey struct {
	kind  handler.OutcomeKind
	cause handler.Cause
}

// outcomeCounters counts requests by outcome and cause. The map is not modified after
// newOutcomeCounters.
type outcomeCounters map[outcomeKey]tally.Counter

func newOutcomeCounters(scope tally.Scope) outcomeCounters {
	c := outcomeCounters{}
	add := func(k handler.OutcomeKind, cause handler.Cause) {
		tags := map[string]string{"outcome": string(k), "cause": string(cause)}
		c[outcomeKey{kind: k, cause: cause}] = scope.Tagged(tags).Counter("requests")
	}
	add(handler.Done, handler.CauseNone)
	for _, info := range handler.CauseInfos {
		add(handler.NotExecuted, info.Cause)
		add(handler.Unknown, info.Cause)
	}
	return c
}

func (c outcomeCounters) count(o *handler.Outcome) {
	if n := c[outcomeKey{kind: o.Kind, cause: o.Cause}]; n != nil {
		n.Inc(1)
	}
}
