package placer

import "time"

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
