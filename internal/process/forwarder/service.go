package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/connection/exchanger"
	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
	"oriolecourse.example/oriolecourse/internal/process/surveyor"
	"oriolecourse.example/oriolecourse/internal/request/admitter"
	"oriolecourse.example/oriolecourse/internal/request/budgeter"
	"oriolecourse.example/oriolecourse/internal/request/placer"
)

const (
	// probeTimeout bounds a probe. It is longer than the placer waits for a report,
	// so that the connection to a target that responds late stays open.
	probeTimeout = 150 * time.Millisecond
	// maxProbeBytes bounds the body of the response to a probe, which is not used.
	maxProbeBytes = 64 << 10
	// connectionShare is the share of a target's connections that the known instances
	// use together. Instances that are not known here may use the rest.
	connectionShare = 0.7
	// mostUrgent is the priority of the most urgent requests.
	mostUrgent = 0
	// never is the initial duration of a timer that is set later.
	never = 24 * time.Hour
	// minConnections is the number of connections to a target that an instance may
	// always open.
	minConnections = 3
)

// decision is the placer's decision on a request. Exactly one field is set, or none
// if the request ended before the decision.
type decision struct {
	grant     *placer.Grant
	rejection *placer.Rejection
}

// service runs the placer of one service and carries out its decisions.
type service struct {
	forwarder *Forwarder
	name      string

	// mutex guards placer, probes, targetCount, waiting and timer.
	mutex       sync.Mutex
	placer      *placer.Placer
	probes      budgeter.Probes
	targetCount int
	// retryMutex guards retries, and nothing else.
	retryMutex sync.Mutex
	retries    budgeter.Retries
	// targets holds the targets that may get new requests.
	targets atomic.Pointer[[]placer.Target]
	// surveyor decides whether the instance is cut off from the targets.
	surveyor *surveyor.Surveyor
	// unrelayedUntil is when requests may be relayed again after no instance took one, in
	// nanoseconds of Unix time.
	unrelayedUntil atomic.Int64
	// waiting holds the channel for the decision on each waiting request.
	waiting map[*placer.Ticket]chan decision
	timer   *time.Timer
}

func newService(f *Forwarder, name string) *service {
	s := &service{forwarder: f, name: name, waiting: map[*placer.Ticket]chan decision{}, surveyor: surveyor.New()}
	s.retries.Window, s.retries.Rounding, s.retries.Started = f.budget.Load().RetryWindow, rand.Float64(), f.started
	s.placer = placer.New(f.options.Zone, rand.Float64, s.allowProbes)
	s.placer.CanSearch = f.options.CanSearch
	s.placer.Admitter = f.admitter
	s.placer.NeedsRecheck = s.needsRecheck
	s.timer = time.AfterFunc(never, s.onTimer)
	return s
}

// allowProbes grants up to n probes within this instance's share of the probe budget
// and returns their number. The placer calls it from Step and LocalProbes, while the
// caller of these holds s.mutex.
func (s *service) allowProbes(n int, now time.Time) int {
	rate := s.forwarder.budget.Load().ProbeRate * float64(s.targetCount)
	if weight := s.forwarder.options.Weight; weight != nil {
		rate *= weight()
	}
	granted := s.probes.Take(n, rate, s.forwarder.options.FleetSize(now).Known, now)
	if granted < n {
		s.forwarder.counters.probesWithheld.Inc(int64(n - granted))
	}
	return granted
}

// countRequest counts a client request, which raises the retry budget.
func (s *service) countRequest(priority int, now time.Time) {
	s.retryMutex.Lock()
	defer s.retryMutex.Unlock()
	s.retries.RecordRequest(priority, now)
}

// forgetRequest takes back countRequest.
func (s *service) forgetRequest(priority int, now time.Time) {
	s.retryMutex.Lock()
	defer s.retryMutex.Unlock()
	s.retries.ForgetRequest(priority, now)
}

// takeRetry takes one retry for a request of a priority from the service's budget and
// reports whether there was one.
func (s *service) takeRetry(priority int, now time.Time) bool {
	return s.take(now, func(fleet int) bool { return s.retries.Take(priority, now, fleet) })
}

// takeRetryAfterShed is takeRetry for a request that a target has shed. While requests wait
// here, the service lacks room: a client that returns would find no more of it, and later.
func (s *service) takeRetryAfterShed(priority int, returned bool, now time.Time) bool {
	s.mutex.Lock()
	waiting := s.placer.Waiting()
	s.mutex.Unlock()
	if waiting > 0 {
		return s.takeRetry(priority, now)
	}
	return s.take(now, func(fleet int) bool { return s.retries.TakeAfterShed(priority, returned, now, fleet) })
}

// countReturn counts a request of a client that returns after a rejection.
func (s *service) countReturn(now time.Time) {
	s.retryMutex.Lock()
	defer s.retryMutex.Unlock()
	s.retries.RecordReturn(now)
}

// take takes a retry from the budget as it is now.
func (s *service) take(now time.Time, from func(fleet int) bool) bool {
	s.retryMutex.Lock()
	defer s.retryMutex.Unlock()
	b := s.forwarder.budget.Load()
	size := s.forwarder.options.FleetSize(now)
	s.retries.Ratio, s.retries.Allowance = b.RetryRatio, b.RetryAllowance
	if !size.Settled {
		// The share of an unknown fleet is unknown. What requests earn needs no share.
		s.retries.Allowance = 0
	}
	granted := from(size.Instances)
	s.forwarder.counters.countRetry(s.name, granted)
	return granted
}

func (s *service) stats(now time.Time) Stats {
	s.mutex.Lock()
	waiting := s.placer.Waiting()
	s.mutex.Unlock()
	s.retryMutex.Lock()
	defer s.retryMutex.Unlock()
	return Stats{Service: s.name, Waiting: waiting, Retries: s.retries.Remaining(mostUrgent, now, s.forwarder.options.FleetSize(now).Instances)}
}

func (s *service) setTargets(usable []registrar.UsableRun, now time.Time) {
	targets := make([]placer.Target, 0, len(usable))
	rate := s.forwarder.warmupRate(s.name)
	for i := range usable {
		u, key := &usable[i], usable[i].Key()
		s.setWarmup(key, u.WarmupEnd, rate, now)
		targets = append(targets, placer.Target{
			ID: key, Name: u.Name, Address: u.Address, Zone: u.Zone, Slots: u.Slots, WarmupEnd: u.WarmupEnd,
		})
	}
	s.targets.Store(&targets)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.targetCount = len(targets)
	s.placer.SetTargets(targets)
	s.step(now)
}

func (s *service) stopAt(end, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.placer.StopAt(end)
	s.step(now)
}

func (s *service) onTimer() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.step(time.Now())
}

// step lets the placer decide and carries out its decisions. The caller holds the
// mutex.
func (s *service) step(now time.Time) {
	actions := s.placer.Step(now)
	for i := range actions.Grants {
		s.deliver(actions.Grants[i].Ticket, decision{grant: &actions.Grants[i]})
	}
	for i := range actions.Rejections {
		s.deliver(actions.Rejections[i].Ticket, decision{rejection: &actions.Rejections[i]})
	}
	for _, d := range actions.Deferrals {
		s.forwarder.counters.countDeferral(s.name, d.Ticket.Kind, d.Cause.String())
	}
	for _, t := range actions.Probes {
		go s.probe(t, now)
	}
	for _, z := range actions.SearchZones {
		go s.search(z, now)
	}
	if !actions.NextStep.IsZero() {
		s.timer.Reset(actions.NextStep.Sub(now))
	}
}

// deliver sends a decision to the goroutine that waits for it.
func (s *service) deliver(t *placer.Ticket, d decision) {
	if decisions := s.waiting[t]; decisions != nil {
		delete(s.waiting, t)
		decisions <- d
	}
}

// place submits a request to the placer and waits for the decision. If the context
// ends first, it withdraws the request.
func (s *service) place(ctx context.Context, t *placer.Ticket) decision {
	decided := make(chan decision, 1)
	s.mutex.Lock()
	if s.relays() {
		s.mutex.Unlock()
		return decision{rejection: &placer.Rejection{Ticket: t, Reason: placer.CutOff}}
	}
	s.waiting[t] = decided
	s.placer.Submit(t)
	returned := t.Returned
	s.step(time.Now())
	s.mutex.Unlock()
	if returned {
		s.countReturn(t.Arrived)
	}
	select {
	case d := <-decided:
		return d
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, waits := s.waiting[t]; waits {
		delete(s.waiting, t)
		s.placer.Withdraw(t)
		return decision{}
	}
	return <-decided
}

// end reports the end of a granted request to the placer, with the load that the
// target reported, if any.
func (s *service) end(g *placer.Grant, e placer.Ending, load *placer.Load, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.placer.End(g.Target.ID, g.Ticket, e, now)
	if load != nil {
		s.placer.Report(g.Target.ID, *load, now, now)
	}
	s.step(now)
}

// report passes the load that a target reported, if any, to the placer.
func (s *service) report(g *placer.Grant, load *placer.Load, now time.Time) {
	if load == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.placer.Report(g.Target.ID, *load, now, now)
	s.step(now)
}

// withhold tells the placer that a granted request was not sent, because its target takes
// no further request for some time.
func (s *service) withhold(g *placer.Grant, wait time.Duration, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.placer.Withhold(g.Target.ID, g.Ticket, now.Add(wait), now)
	s.step(now)
}

// retryAfterShed returns when a client may retry whose request all tried targets have
// shed.
func (s *service) retryAfterShed(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.placer.RetryAfterShed(now)
}

// isUsable reports whether a target may get new requests now.
func (s *service) isUsable(id string) bool {
	return slices.ContainsFunc(s.linkTargets(), func(t placer.Target) bool { return t.ID == id })
}

// maxConnections returns the greatest number of connections that this instance may
// open to one target.
func (s *service) maxConnections() int {
	table := s.forwarder.options.Table()
	if table == nil {
		return minConnections
	}
	properties := table.Service(s.name)
	if properties == nil || properties.MaxConnections == 0 {
		return minConnections
	}
	share := connectionShare * float64(properties.MaxConnections) / float64(s.forwarder.options.FleetSize(time.Now()).Known)
	return max(int(share), minConnections)
}

// probeRequest returns the request for a target's health path.
func (s *service) probeRequest(t placer.Target) *exchanger.Request {
	path := "/"
	if table := s.forwarder.options.Table(); table != nil && table.Service(s.name) != nil {
		path = table.Service(s.name).HealthPath
	}
	return &exchanger.Request{
		Method: http.MethodGet, Path: path, Host: t.Address.String(),
		IDHeader: s.forwarder.options.Dialect.RequestID, NotExecuted: func(*sender.Response) bool { return false },
		MaxConnections: s.maxConnections(), MaxResponseBytes: maxProbeBytes,
	}
}

// admits reports whether a target takes a message of this instance now. Each message that is
// not a request of a caller asks it right before it is sent, wherever its target was chosen;
// requests ask for a permit.
func (s *service) admits(t placer.Target, u admitter.Use, now time.Time) bool {
	if s.forwarder.admitter.Run(t.ID).Admit(u, now).Admitted {
		return true
	}
	s.forwarder.counters.probesRefused.Inc(1)
	return false
}

// probe requests a target's health path and passes the result to the placer. It sends nothing
// to a target that is not to be probed now.
func (s *service) probe(t placer.Target, asked time.Time) {
	f := s.forwarder
	if !s.admits(t, admitter.Probe, time.Now()) {
		return
	}
	f.counters.probes.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	response, _, err := f.exchanger.Send(ctx, t.Address, s.probeRequest(t))
	now := time.Now()
	if err == nil {
		s.recordAnswer(now)
		if !s.isFrom(t, response) {
			f.options.OnTargetReplaced(t.ID, now)
			return
		}
		s.observe(t, response, forProbe, now)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil || response.Status != http.StatusOK {
		s.probeFailed(t, response, err, now)
	} else if l, reported := f.options.Dialect.Load(response.Header); reported {
		s.placer.Report(t.ID, l, asked, now)
	} else {
		s.placer.AnsweredWithoutLoad(t.ID)
	}
	s.step(now)
}

// probeFailed reports and logs a probe without a usable response.
func (s *service) probeFailed(t placer.Target, response *sender.Response, err error, now time.Time) {
	s.placer.ProbeFailed(t.ID, now)
	s.forwarder.counters.probesFailed.Inc(1)
	status := 0
	if response != nil {
		status = response.Status
	}
	_ = level.Debug(s.forwarder.options.Logger).Log("msg", "probe failed", "service", s.name,
		"target", t.ID, "address", t.Address, "status", status, "err", err)
}
