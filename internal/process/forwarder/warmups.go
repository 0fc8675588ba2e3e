package forwarder

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/process/limiter"
)

// warmupRate returns the rate of permits for a cold target of a service; Unlimited if there
// is no bound.
func (f *Forwarder) warmupRate(service string) float64 {
	b, table := f.budget.Load(), f.options.Table()
	if table == nil || table.Service(service) == nil {
		return limiter.Unlimited
	}
	return limiter.WarmupRate(table.Service(service).WarmupRate, b.WarmupOvershoot, b.WarmupSlack)
}

// isWarmupRate reports whether a rate is that of the permits for the cold targets of a
// service. A request for a permit does not say whether its rate comes from a limit or from a
// warm-up.
func (f *Forwarder) isWarmupRate(rate float64) bool {
	table := f.options.Table()
	if rate == limiter.Unlimited || table == nil {
		return false
	}
	for i := range table.Services {
		if f.warmupRate(table.Services[i].Name) == rate {
			return true
		}
	}
	return false
}

// SetWarmup records until when a run of a service is cold. Each target of a zone that has come
// back cold says so at its next probe, so it costs no more than this run takes.
func (f *Forwarder) SetWarmup(service, key string, end, now time.Time) {
	s := f.service(service)
	s.setWarmup(key, end, f.warmupRate(service), now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.placer.SetWarmupEnd(key, end)
	s.step(now)
}

// setWarmup records until when a run is cold, if there is a bound on its requests.
func (s *service) setWarmup(key string, end time.Time, rate float64, now time.Time) {
	w := limiter.Warmup{}
	if rate != limiter.Unlimited && end.After(now) {
		w = limiter.Warmup{Rate: rate, Until: end}
	}
	s.forwarder.limiter.SetWarmup(key, w, now)
	s.forwarder.admitter.Run(key).SetCold(w.Until)
}
