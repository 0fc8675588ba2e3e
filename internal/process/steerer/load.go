package steerer

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minReportedChange is the relative change of a rate above which the rate is
	// reported before reportInterval has passed.
	minReportedChange = 0.25
	// minReportedSigmas is the number of standard deviations of the metered rate that
	// a change also has to exceed to be reported early: the metered rate of rare calls
	// varies by chance.
	minReportedSigmas = 3
	// minReportInterval is the least time between two reports of one rate.
	minReportInterval = 5 * time.Second
	// reportInterval is the time after which an unchanged rate is reported again. It is
	// well below the 90 seconds after which a report expires, the lifetime of a load
	// rumor in package relayer.
	reportInterval = 40 * time.Second
	// meterTimeConstant is the time constant of the exponential average of a Meter.
	meterTimeConstant = 2 * time.Second
)

// Meter measures the call rate of one service at this instance. Add may be
// called from any goroutine, Rate from one.
type Meter struct {
	calls atomic.Uint64
	// counted is the value of calls at the latest update of rate, at countedAt.
	counted   uint64
	countedAt time.Time
	rate      float64
}

// Add counts one call.
func (m *Meter) Add() { m.calls.Add(1) }

// Rate updates and returns the exponential moving average of calls per second.
func (m *Meter) Rate(now time.Time) float64 {
	calls := m.calls.Load()
	elapsed := now.Sub(m.countedAt)
	if m.countedAt.IsZero() || elapsed <= 0 {
		if m.countedAt.IsZero() {
			m.counted, m.countedAt = calls, now
		}
		return m.rate
	}
	latest := float64(calls-m.counted) / elapsed.Seconds()
	alpha := 1 - math.Exp(-elapsed.Seconds()/meterTimeConstant.Seconds())
	m.rate += alpha * (latest - m.rate)
	m.counted, m.countedAt = calls, now
	return m.rate
}

// source identifies one reported rate: the calls per second that an instance takes
// for a service, or the load of the instance when service is empty.
type source struct {
	key
	instance netip.AddrPort
}

// timedRate is a rate with the time at which it expires or is to be reported again.
type timedRate struct {
	rate  float64
	until time.Time
}

// Loads holds the call rates and loads that other instances reported, and the rates
// that this instance reported last. It is safe for concurrent use.
type Loads struct {
	mutex sync.Mutex
	// reported holds the rates of other instances until they expire.
	reported map[source]timedRate
	// lastReported holds this instance's own rates until they are to be reported again.
	lastReported map[key]timedRate
}

// NewLoads returns an empty set of rates.
func NewLoads() *Loads {
	return &Loads{reported: map[source]timedRate{}, lastReported: map[key]timedRate{}}
}

// Record records a rate that another instance reported; it expires at until. With an
// empty service, rate is the load of the instance, 1 when full. Of two reports the one
// that expires later is the newer one and stays.
func (l *Loads) Record(place, service string, instance netip.AddrPort, rate float64, until time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := source{key{place, service}, instance}
	if until.After(l.reported[s].until) {
		l.reported[s] = timedRate{rate: rate, until: until}
	}
}

// Rate returns the sum of the calls per second that other instances take for a
// service.
func (l *Loads) Rate(place, service string, now time.Time) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	total := 0.0
	for s, t := range l.reported {
		if !now.Before(t.until) {
			delete(l.reported, s)
			continue
		}
		if s.place == place && s.service == service {
			total += t.rate
		}
	}
	return total
}

// InstanceLoads returns the load of each instance that reported one, 1 when full.
func (l *Loads) InstanceLoads(now time.Time) map[netip.AddrPort]float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	loads := map[netip.AddrPort]float64{}
	for s, t := range l.reported {
		if s.service == "" && now.Before(t.until) {
			loads[s.instance] = t.rate
		}
	}
	return loads
}

// ReportDue reports whether this instance's own rate in calls per second should be
// reported to the other instances now, and if so records it as reported. A rate below
// one call per second is not reported unless the last reported rate was at least that
// high, so that services with hardly any calls cause no reports.
func (l *Loads) ReportDue(place, service string, rate float64, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	k := key{place, service}
	last := l.lastReported[k]
	larger := max(rate, last.rate)
	// The exponential average of a Poisson process with rate r and the time constant T
	// has the standard deviation sqrt(r/(2T)).
	noise := minReportedSigmas * math.Sqrt(larger/(2*meterTimeConstant.Seconds()))
	changed := math.Abs(rate-last.rate) > max(minReportedChange*larger, noise)
	due := last.until
	if changed {
		due = due.Add(minReportInterval - reportInterval)
	}
	if larger < 1 || now.Before(due) {
		return false
	}
	l.lastReported[k] = timedRate{rate: rate, until: now.Add(reportInterval)}
	return true
}
