package dispatcher

import (
	"net/netip"
	"sync/atomic"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/chooser"
	"oriolecourse.example/oriolecourse/internal/request/retrier"
)

// Report is a target's statement of its load.
type Report = chooser.Report

// ParseReport reads a target's endpoint-load-metrics header.
func ParseReport(text string) Report { return chooser.ParseReport(text) }

// The states that a target's answer may give.
const (
	StateReady    = "ready"
	StateWarming  = "warming"
	StateDraining = "draining"
	StateShed     = "shed"
)

// Result is how a leased try ended.
type Result struct {
	Ending retrier.Ending
	// Latency is the time from the lease to the answer; 0 means from the lease to
	// its release.
	Latency time.Duration
	// Report is the load report of the answer, if it had one.
	Report Report
	// State is the Target-State of the answer, if it had one.
	State string
}

// Lease is room for one request at one target. It is released exactly once;
// later releases are ignored.
type Lease struct {
	// Target is where the request goes.
	Target netip.AddrPort
	// Since is when the room was taken.
	Since time.Time

	dispatcher *Dispatcher
	target     *chooser.Target
	normal     *chooser.Normal
	mark       chooser.Mark
	released   atomic.Bool
}

// Release gives the room back and learns from the result.
func (l *Lease) Release(r Result, now time.Time) {
	if l.released.Swap(true) {
		return
	}
	if r.Latency <= 0 {
		r.Latency = now.Sub(l.Since)
	}
	d, t := l.dispatcher, l.target
	t.Hear(r.Report, t.Outstanding()-1, now)
	d.learn(l, r, now)
	t.End(l.mark)
	if d.waiting.Load() > 0 {
		d.ServeQueue(now)
	}
}

// learn updates what is known about the lease's target.
func (d *Dispatcher) learn(l *Lease, r Result, now time.Time) {
	t := l.target
	latency := time.Duration(float64(r.Latency) / l.mark.Stretch)
	p := d.view.Load().policy
	changed := false
	switch r.Ending {
	case retrier.Done:
		t.Observe(l.normal.Ratio(latency), now)
		l.normal.Observe(latency)
		changed = t.Succeed()
	case retrier.Failed, retrier.Lost, retrier.Unsent:
		changed = t.Fail(p.Failures, p.Eject, now)
	case retrier.Shed:
		t.Shed(p.Slots, now)
	case retrier.Canceled:
		t.ObserveAtLeast(l.normal.Ratio(latency), now)
	}
	if r.State == StateDraining {
		t.Close()
	}
	if changed {
		d.view.Load().set.Recount()
	}
}
