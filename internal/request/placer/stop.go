package placer

import "time"

// stopMargin is the multiple of its expected time that must be left for a request that is started
// during a stop. Times of work vary, and one that does not end is cut off, while one that is
// rejected can be served by another instance at once.
const stopMargin = 1.5

// StopAt tells the placer that the instance stops. From now on no request is started that is not
// expected to end by the given time; one that cannot is rejected at once.
func (p *Placer) StopAt(end time.Time) {
	p.stopEnd = end
	for _, t := range p.waiting {
		p.limitDeadline(t)
	}
}

// limitDeadline sets the deadline of a request to the end of the instance's stop if that is
// earlier.
func (p *Placer) limitDeadline(t *Ticket) {
	if !p.stopEnd.IsZero() && p.stopEnd.Before(t.Deadline) {
		t.Deadline, t.endsWithStop = p.stopEnd, true
	}
}

// lastStart returns the last moment at which a request that takes a given time may be started.
func (t *Ticket) lastStart(expected time.Duration) time.Time {
	if t.endsWithStop {
		expected = time.Duration(stopMargin * float64(expected))
	}
	return t.Deadline.Add(-expected)
}
