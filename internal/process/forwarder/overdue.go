package forwarder

import (
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// overdueInterval is the time between two checks of an attempt that takes much longer than
// expected and is not hedged. A dropped request holds a slot here until it is found.
const overdueInterval = 250 * time.Millisecond

// startHedge reports the current target as slow, so that other requests avoid it,
// and sends a copy of an idempotent request to another target if the budget allows. For a
// request that its target has dropped, it tries so until the budget allows.
func (e *execution) startHedge() {
	now := time.Now()
	if e.running != 1 || e.placing > 0 {
		return
	}
	isFirst := e.current != e.overdue
	e.reportOverdue(now)
	tries := isFirst || e.current == e.dropped
	if !tries || !e.route.Idempotent || e.sent >= e.route.MaxAttempts || !e.service.takeRetry(e.route.Priority, now) {
		e.hedgeTimer.Reset(overdueInterval)
		return
	}
	_ = level.Info(e.logger).Log("msg", "second try", "service", e.service.name, "after", now.Sub(e.Arrived))
	e.place(true)
}

// reportOverdue handles the current attempt, which takes much longer than expected. If its
// target has dropped the request, the attempt no longer counts there. It still waits for a
// response, which may only have been lost on the way for now; its connection is not used
// again. Otherwise the target is reported as slow, once.
func (e *execution) reportOverdue(now time.Time) {
	g := e.current
	switch {
	case g == e.dropped:
	case e.service.recordDropped(g, now):
		e.dropped = g
		e.forwarder.counters.countSilent(e.service.name)
		_ = level.Warn(e.logger).Log("msg", "target silent", "service", e.service.name, "target", g.Target.ID, "after", now.Sub(e.Arrived))
	case g != e.overdue:
		e.overdue = g
		e.service.reportSlow(g, now)
	default:
		e.service.probeOverdue(g, now)
	}
}

// recordDropped reports whether the target has dropped a granted request, which the placer
// then no longer counts.
func (s *service) recordDropped(g *placer.Grant, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	dropped := s.placer.RecordDropped(g.Target.ID, g.Ticket, now)
	if dropped {
		s.step(now)
	}
	return dropped
}

// reportSlow tells the placer that a request at a target takes much longer than expected.
// If the target's last report is older than the request, it is asked for its load first,
// which shows whether it may have dropped the request.
func (s *service) reportSlow(g *placer.Grant, now time.Time) {
	s.mutex.Lock()
	asks := s.placer.LacksReport(g.Target.ID, g.Ticket) && s.allowProbes(1, now) == 1
	if !asks {
		s.placer.ReportSlow(g.Target.ID, g.Ticket, now)
	}
	s.mutex.Unlock()
	if !asks {
		return
	}
	go func() {
		s.probe(g.Target, now)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.placer.ReportSlow(g.Target.ID, g.Ticket, time.Now())
	}()
}

// probeOverdue asks the target of an overdue request for its load, which shows whether it
// has dropped the request. A target whose slots are all counted as used is not probed
// otherwise.
func (s *service) probeOverdue(g *placer.Grant, now time.Time) {
	s.mutex.Lock()
	allowed := s.placer.ReportsLoad(g.Target.ID) && s.allowProbes(1, now) == 1
	s.mutex.Unlock()
	if allowed {
		go s.probe(g.Target, now)
	}
}
