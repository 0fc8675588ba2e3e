package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/connection/exchanger"
	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
	"oriolecourse.example/oriolecourse/internal/request/budgeter"
	"oriolecourse.example/oriolecourse/internal/request/placer"
)

const (
	// probeTimeout ends a probe. A target that answers later than the placer waits
	// keeps its connection.
	probeTimeout = 150 * time.Millisecond
	// connectionShare is the part of a target's connections that the fleet uses;
	// instances that are not known here use the rest.
	connectionShare = 0.7
	// never is the time of a timer that is set later.
	never = 24 * time.Hour
	// connectionLeast is the number of connections that an instance may always open.
	connectionLeast = 3
)

// decision is what became of a waiting request: exactly one of both is set, or
// none when its client left.
type decision struct {
	grant   *placer.Grant
	refusal *placer.Rejection
}

// service drives the placer of one service.
type service struct {
	forwarder *Forwarder
	name      string

	mutex   sync.Mutex
	placer  *placer.Placer
	probes  budgeter.Probes
	targets int
	// budget guards retries.
	budget  sync.Mutex
	retries budgeter.Retries
	// waiting holds where the decision on each waiting request goes.
	waiting map[*placer.Ticket]chan decision
	timer   *time.Timer
}

func newService(f *Forwarder, name string) *service {
	s := &service{forwarder: f, name: name, waiting: map[*placer.Ticket]chan decision{}}
	s.retries.Window = f.bounds.Load().RetryWindow
	s.placer = placer.New(f.options.Zone, rand.Float64, s.allow)
	s.placer.CanSearch = f.options.Scouted
	s.timer = time.AfterFunc(never, s.wake)
	return s
}

// allow grants probes within this instance's share.
func (s *service) allow(n int, now time.Time) int {
	rate := s.forwarder.bounds.Load().ProbeRate * float64(s.targets)
	granted := s.probes.Take(n, rate, s.forwarder.options.Fleet(), now)
	if granted < n {
		s.forwarder.counters.withheld.Inc(int64(n - granted))
	}
	return granted
}

// count counts one request of a client for the service.
func (s *service) count(now time.Time) {
	s.budget.Lock()
	defer s.budget.Unlock()
	s.retries.RecordRequest(now)
}

// again grants one more attempt at the service.
func (s *service) again(now time.Time) bool {
	s.budget.Lock()
	defer s.budget.Unlock()
	b := s.forwarder.bounds.Load()
	s.retries.Ratio, s.retries.Allowance = b.RetryRatio, b.RetryAllowance
	return s.retries.Take(now, s.forwarder.options.Fleet())
}

func (s *service) figures(now time.Time) Figures {
	s.mutex.Lock()
	waiting := s.placer.Waiting()
	s.mutex.Unlock()
	s.budget.Lock()
	defer s.budget.Unlock()
	return Figures{Service: s.name, Waiting: waiting, Retries: s.retries.Remaining(now, s.forwarder.options.Fleet())}
}

func (s *service) setTargets(usable []registrar.UsableRun, now time.Time) {
	targets := make([]placer.Target, 0, len(usable))
	for _, u := range usable {
		targets = append(targets, placer.Target{
			ID: u.Key(), Name: u.Name, Address: u.Address, Zone: u.Zone, Slots: u.Slots, WarmupEnd: u.WarmupEnd,
		})
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.targets = len(targets)
	s.placer.SetTargets(targets)
	s.step(now)
}

func (s *service) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.step(time.Now())
}

// step carries out what the placer decides. The mutex is held.
func (s *service) step(now time.Time) {
	a := s.placer.Step(now)
	for i := range a.Grants {
		s.decide(a.Grants[i].Ticket, decision{grant: &a.Grants[i]})
	}
	for i := range a.Rejections {
		s.decide(a.Rejections[i].Ticket, decision{refusal: &a.Rejections[i]})
	}
	for _, t := range a.Probes {
		go s.probe(t, now)
	}
	for _, z := range a.SearchZones {
		go s.seek(z, now)
	}
	if !a.NextStep.IsZero() {
		s.timer.Reset(a.NextStep.Sub(now))
	}
}

func (s *service) decide(t *placer.Ticket, d decision) {
	if to := s.waiting[t]; to != nil {
		delete(s.waiting, t)
		to <- d
	}
}

// place waits for the decision on a request.
func (s *service) place(ctx context.Context, t *placer.Ticket) decision {
	to := make(chan decision, 1)
	s.mutex.Lock()
	s.waiting[t] = to
	s.placer.Submit(t)
	s.step(time.Now())
	s.mutex.Unlock()
	select {
	case d := <-to:
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
	return <-to
}

// end tells the placer how a granted request ended.
func (s *service) end(g *placer.Grant, e placer.Ending, load *placer.Load, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.placer.End(g.Target.ID, g.Ticket, e, now)
	if load != nil {
		s.placer.Report(g.Target.ID, *load, now, now)
	}
	s.step(now)
}

// doubt tells the placer that a request takes much longer than expected.
func (s *service) doubt(g *placer.Grant, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.placer.ReportSlow(g.Target.ID, now)
}

// connections bounds this instance's connections to one target.
func (s *service) connections() int {
	table := s.forwarder.options.Table()
	if table == nil {
		return connectionLeast
	}
	properties := table.Service(s.name)
	if properties == nil || properties.MaxConnections == 0 {
		return connectionLeast
	}
	share := connectionShare * float64(properties.MaxConnections) / float64(s.forwarder.options.Fleet())
	return max(int(share), connectionLeast)
}

// probe asks a target for its load.
func (s *service) probe(t placer.Target, asked time.Time) {
	f := s.forwarder
	f.counters.probes.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	path := "/"
	if table := f.options.Table(); table != nil && table.Service(s.name) != nil {
		path = table.Service(s.name).HealthPath
	}
	a, _, err := f.exchanger.Send(ctx, t.Address, &exchanger.Request{
		Method: http.MethodGet, Path: path, Host: t.Address.String(),
		IDHeader: f.options.Dialect.RequestID, NotExecuted: func(*sender.Response) bool { return false },
		MaxConnections: s.connections(),
	})
	now := time.Now()
	if err == nil {
		if name := f.options.Dialect.TargetName(a.Header); name != "" && name != t.Name {
			f.options.Left(t.ID, now)
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil || a.Status != http.StatusOK {
		s.silent(t, a, err, now)
	} else if l, told := f.options.Dialect.Load(a.Header); told {
		s.placer.Report(t.ID, l, asked, now)
	} else {
		s.placer.AnsweredWithoutLoad(t.ID)
	}
	s.step(now)
}

func (s *service) silent(t placer.Target, a *sender.Response, err error, now time.Time) {
	s.placer.ProbeFailed(t.ID, now)
	s.forwarder.counters.silent.Inc(1)
	status := 0
	if a != nil {
		status = a.Status
	}
	_ = level.Debug(s.forwarder.options.Logger).Log("msg", "probe failed", "service", s.name,
		"target", t.ID, "address", t.Address, "status", status, "err", err)
}
