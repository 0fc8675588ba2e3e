package steerer

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// tellChange is the relative change of a rate that is told at once.
	tellChange = 0.25
	// tellNoise is the number of standard deviations of a metered rate below which
	// a change is not told: rare calls come irregularly.
	tellNoise = 3
	// tellGap is the least time between two tellings of one rate.
	tellGap = 5 * time.Second
	// tellEvery is the time after which an unchanged rate is told again; it is
	// well below the life of what is told.
	tellEvery = 40 * time.Second
	// meterTime is the time constant over which a Meter averages.
	meterTime = 2 * time.Second
)

// Meter measures the call rate of one service at this instance. Add may be
// called from any goroutine, Rate from one.
type Meter struct {
	calls   atomic.Uint64
	counted uint64
	at      time.Time
	rate    float64
}

// Add counts one call.
func (m *Meter) Add() { m.calls.Add(1) }

// Rate returns the moving average of calls per second.
func (m *Meter) Rate(now time.Time) float64 {
	calls := m.calls.Load()
	passed := now.Sub(m.at)
	if m.at.IsZero() || passed <= 0 {
		if m.at.IsZero() {
			m.counted, m.at = calls, now
		}
		return m.rate
	}
	latest := float64(calls-m.counted) / passed.Seconds()
	share := 1 - math.Exp(-passed.Seconds()/meterTime.Seconds())
	m.rate += share * (latest - m.rate)
	m.counted, m.at = calls, now
	return m.rate
}

// source names one rate: an instance's calls for a service, or its own load for
// an empty service.
type source struct {
	key
	instance netip.AddrPort
}

type told struct {
	rate  float64
	until time.Time
}

// Loads holds the rates that other instances told. It is safe for concurrent use.
type Loads struct {
	mutex sync.Mutex
	told  map[source]told
	own   map[key]told
}

// NewLoads returns an empty set of rates.
func NewLoads() *Loads {
	return &Loads{told: map[source]told{}, own: map[key]told{}}
}

// Record takes a rate that holds until a time. What holds longer was told later, so
// an older one does not replace it.
func (l *Loads) Record(place, service string, instance netip.AddrPort, rate float64, until time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := source{key{place, service}, instance}
	if until.After(l.told[s].until) {
		l.told[s] = told{rate: rate, until: until}
	}
}

// Rate returns the calls per second that the others take for a service.
func (l *Loads) Rate(place, service string, now time.Time) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	total := 0.0
	for s, t := range l.told {
		if !now.Before(t.until) {
			delete(l.told, s)
			continue
		}
		if s.place == place && s.service == service {
			total += t.rate
		}
	}
	return total
}

// InstanceLoads returns the load of each instance that told one.
func (l *Loads) InstanceLoads(now time.Time) map[netip.AddrPort]float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	loads := map[netip.AddrPort]float64{}
	for s, t := range l.told {
		if s.service == "" && now.Before(t.until) {
			loads[s.instance] = t.rate
		}
	}
	return loads
}

// ReportDue reports whether this instance's own rate should be told to the others now,
// and takes it as told if so. A service without calls is not told.
func (l *Loads) ReportDue(place, service string, rate float64, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	k := key{place, service}
	last := l.own[k]
	high := max(rate, last.rate)
	noise := tellNoise * math.Sqrt(high/(2*meterTime.Seconds()))
	changed := math.Abs(rate-last.rate) > max(tellChange*high, noise)
	due := last.until
	if changed {
		due = due.Add(tellGap - tellEvery)
	}
	if high < 1 || now.Before(due) {
		return false
	}
	l.own[k] = told{rate: rate, until: now.Add(tellEvery)}
	return true
}
