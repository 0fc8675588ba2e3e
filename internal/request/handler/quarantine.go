package handler

import (
	"context"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
)

// admissionPollInterval is the time between two calls of Admit while another suspect of
// the service runs. The quarantine does not notify requests that wait; the interval is
// short because it can delay a request that may already run.
const admissionPollInterval = 2 * time.Millisecond

// awaitAdmission waits until the quarantine admits the request. A request that is
// suspected of crashing targets runs while no other suspect of the service runs.
// Other requests are admitted at once. A non-nil outcome ends the request.
func (r *race) awaitAdmission(ctx context.Context) *Outcome {
	for {
		verdict, retryAfter := r.handler.Quarantine.Admit(r.request.service(), r.request.fingerprint, r.handler.Clock())
		switch verdict {
		case quarantiner.Quarantined:
			return NewUnknown(CauseQuarantine, retryAfter)
		case quarantiner.Isolated:
			r.isolated = true
			return nil
		case quarantiner.Free:
			return nil
		}
		if err := sleep(ctx, admissionPollInterval); err != nil {
			return r.awaitCanceled(ctx)
		}
	}
}

// endSuspected returns the outcome of a suspect after its one attempt.
func (r *race) endSuspected(a Attempt) *Outcome {
	verdict, retryAfter := r.handler.Quarantine.Admit(r.request.service(), r.request.fingerprint, r.handler.Clock())
	if verdict == quarantiner.Quarantined {
		return NewUnknown(CauseQuarantine, retryAfter)
	}
	return r.failureOutcome(causeOfFailure(a), 0)
}

// endIsolation allows the next suspect of the service to run.
func (r *race) endIsolation() {
	if r.isolated {
		r.handler.Quarantine.EndIsolation(r.request.service(), r.request.fingerprint)
	}
}
