package dispatcher

import (
	"net/netip"
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/chooser"
	"oriolecourse.example/oriolecourse/internal/request/retrier"
)

// Report is the load that a target reports.
type Report = chooser.Report

// ParseReport parses a target's endpoint-load-metrics header.
func ParseReport(text string) Report { return chooser.ParseReport(text) }

// Values of the Target-State header of a response.
const (
	StateReady    = "ready"
	StateWarming  = "warming"
	StateDraining = "draining"
	StateShed     = "shed"
)

// Result is how a leased attempt ended.
type Result struct {
	Ending retrier.Ending
	// Latency is the time from the lease to the response; 0 means from the lease to
	// its release.
	Latency time.Duration
	// Report is the load report in the response, if it had one.
	Report Report
	// State is the Target-State of the response, if it had one.
	State string
}

// Lease is capacity for one request at one target. It is released exactly once;
// later releases are ignored.
type Lease struct {
	// Target is the address that the request is sent to.
	Target netip.AddrPort
	// Since is when the capacity was taken.
	Since time.Time

	dispatcher *Dispatcher
	target     *chooser.Target
	estimate   *chooser.LatencyEstimate
	inFlight   chooser.InFlight
	released   atomic.Bool
}

// Release returns the capacity and records the result.
func (l *Lease) Release(r Result, now time.Time) {
	if l.released.Swap(true) {
		return
	}
	if r.Latency <= 0 {
		r.Latency = now.Sub(l.Since)
	}
	d, t := l.dispatcher, l.target
	// The report does not include this request, which ended before it was made.
	t.UpdateLoad(r.Report, t.Outstanding()-1, now)
	d.recordResult(l, r, now)
	t.End(l.inFlight)
	if d.waiting.Load() > 0 {
		d.ServeQueue(now)
	}
}

// recordResult updates the observations of the lease's target and the latency
// estimate of the request's kind.
func (d *Dispatcher) recordResult(l *Lease, r Result, now time.Time) {
	t := l.target
	// latency leaves out the part that this instance's own load is expected to add.
	latency := time.Duration(float64(r.Latency) / l.inFlight.LoadFactor)
	p := d.configuration.Load().policy
	changed := false
	switch r.Ending {
	case retrier.Done:
		t.Observe(l.estimate.Ratio(latency), now)
		l.estimate.Observe(latency)
		changed = t.RecordSuccess()
	case retrier.Failed, retrier.Lost, retrier.Unsent:
		changed = t.RecordFailure(p.Failures, p.EjectionTime, now)
	case retrier.Shed:
		t.RecordShed(p.Slots, now)
	case retrier.Canceled:
		t.ObserveAtLeast(l.estimate.Ratio(latency), now)
	}
	if r.State == StateDraining {
		t.SetDraining()
	}
	if changed {
		d.configuration.Load().set.UpdateEjection()
	}
}
