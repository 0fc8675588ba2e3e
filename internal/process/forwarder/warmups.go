package forwarder

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/process/limiter"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
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

// setWarmup records until when a run is cold, if there is a bound on its requests.
func (s *service) setWarmup(u *registrar.UsableRun, rate float64, now time.Time) {
	w := limiter.Warmup{}
	if rate != limiter.Unlimited && u.WarmupEnd.After(now) {
		w = limiter.Warmup{Rate: rate, Until: u.WarmupEnd}
	}
	s.forwarder.limiter.SetWarmup(u.Key(), w, now)
	s.forwarder.admitter.Run(u.Key()).SetCold(w.Until)
}
