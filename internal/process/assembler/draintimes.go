package assembler

import (
	"sync"
	"time"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// drainTimes computes how long a graceful shutdown must wait for callers and for
// requests. Address responses and requests keep the durations of the settings under
// which they began, so earlier settings count as well as those in force.
type drainTimes struct {
	mutex    sync.Mutex
	settings *resolver.Snapshot
	// responsesExpire and requestsEnd are the latest times that earlier settings allow.
	responsesExpire, requestsEnd time.Time
}

// update records that new settings are in force from now on.
func (d *drainTimes) update(s *resolver.Snapshot, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.responsesExpire, d.requestsEnd = d.computeAt(now)
	d.settings = s
}

// at returns the time until which callers may use the address responses sent up to
// now, and the latest deadline of the requests that arrived up to now.
func (d *drainTimes) at(now time.Time) (responsesExpire, requestsEnd time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.computeAt(now)
}

// computeAt implements at. The caller holds the mutex.
func (d *drainTimes) computeAt(now time.Time) (responsesExpire, requestsEnd time.Time) {
	responsesExpire, requestsEnd = d.responsesExpire, d.requestsEnd
	if d.settings == nil {
		return responsesExpire, requestsEnd
	}
	for _, p := range d.settings.Policies {
		responsesExpire = later(responsesExpire, now.Add(p.HomesTTL))
		requestsEnd = later(requestsEnd, now.Add(p.Deadline))
	}
	return responsesExpire, requestsEnd
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
