package handler

import (
	"context"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
)

// turnPollInterval is the time between two calls that ask whether a suspect may
// run.
const turnPollInterval = 2 * time.Millisecond

// enterQuarantine waits until the quarantine admits the request. A request that is
// suspected of crashing targets runs while no other suspect of the service runs.
// Other requests are admitted at once. A non-nil outcome ends the request.
func (c *race) enterQuarantine(ctx context.Context) *Outcome {
	for {
		verdict, retryAfter := c.handler.Quarantine.Admit(c.request.service(), c.request.fingerprint, c.handler.Clock())
		switch verdict {
		case quarantiner.Quarantined:
			return NewUnknown(CauseQuarantine, retryAfter)
		case quarantiner.Isolated:
			c.isolated = true
			return nil
		case quarantiner.Free:
			return nil
		}
		if err := sleep(ctx, turnPollInterval); err != nil {
			return c.awaitCanceled(ctx)
		}
	}
}

// endSuspected returns the outcome of a suspect after its one attempt.
func (c *race) endSuspected(a Attempt) *Outcome {
	verdict, retryAfter := c.handler.Quarantine.Admit(c.request.service(), c.request.fingerprint, c.handler.Clock())
	if verdict == quarantiner.Quarantined {
		return NewUnknown(CauseQuarantine, retryAfter)
	}
	return c.endWithoutResponse(causeOfFailure(a), 0)
}

// leaveQuarantine allows the next suspect of the service to run.
func (c *race) leaveQuarantine() {
	if c.isolated {
		c.handler.Quarantine.EndIsolation(c.request.service(), c.request.fingerprint)
	}
}
