package handler

import (
	"context"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
)

// turnPause is the time between two attempts to get the turn of a suspect.
const turnPause = 2 * time.Millisecond

// enter waits until a request that is suspected of crashing targets may run
// apart from all other suspects; others pass at once.
func (c *race) enter(ctx context.Context) *Outcome {
	for {
		verdict, retry := c.handler.Quarantine.Admit(c.request.service(), c.request.fingerprint, c.handler.Clock())
		switch verdict {
		case quarantiner.Quarantined:
			return NewUnknown(CauseQuarantine, retry)
		case quarantiner.Isolated:
			c.alone = true
			return nil
		case quarantiner.Free:
			return nil
		}
		if err := pause(ctx, turnPause); err != nil {
			return c.expire(ctx)
		}
	}
}

// suspected ends a request that has had its turn as a suspect.
func (c *race) suspected(a Attempt) *Outcome {
	verdict, retry := c.handler.Quarantine.Admit(c.request.service(), c.request.fingerprint, c.handler.Clock())
	if verdict == quarantiner.Quarantined {
		return NewUnknown(CauseQuarantine, retry)
	}
	return c.ended(reason(a), 0)
}

// leave gives the turn of a suspect back.
func (c *race) leave() {
	if c.alone {
		c.handler.Quarantine.EndIsolation(c.request.service(), c.request.fingerprint)
	}
}
