package forwarder

import (
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/limiter"
	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// The purposes of messages to a limited target, in metrics.
const (
	forRequest = "request"
	forProbe   = "probe"
)

// observeLimit records the limit that a response of a target names.
func (s *service) observeLimit(t placer.Target, r *sender.Response, purpose string, now time.Time) {
	f := s.forwarder
	rate := f.options.Dialect.Limit(r.Header)
	before := f.limiter.Observe(t.ID, rate, now)
	if rate != limiter.Unlimited {
		f.counters.countLimited(s.name, purpose)
	}
	if rate != before {
		_ = level.Info(f.options.Logger).Log("msg", "limit changed", "service", s.name, "target", t.ID,
			"address", t.Address, "limit", rate, "before", before)
	}
}
