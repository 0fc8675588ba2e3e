package assembler

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/accountant"
	"oriolecourse.example/oriolecourse/internal/process/dispatcher"
	"oriolecourse.example/oriolecourse/internal/process/prober"
	"oriolecourse.example/oriolecourse/internal/process/tracker"
	"oriolecourse.example/oriolecourse/internal/request/handler"
)

const (
	// probePeriod is the time between two looks for targets to probe.
	probePeriod = 50 * time.Millisecond
	// healthPath is the health endpoint of a target.
	healthPath = "/health"
	// healthLimit is the largest answer of a health endpoint in bytes.
	healthLimit = 4096
	// doubtMemory is how long a doubt is remembered after traffic has ended it, so
	// that the probes of a target that only answers probes grow rare.
	doubtMemory = 30 * time.Second
	// headerProbe marks a probe.
	headerProbe = "Oriole-Probe"
)

// doubt is a reason to probe a target.
type doubt struct {
	reason prober.Reason
	// since is when the reason arose.
	since time.Time
	// same counts the probes since then.
	same int
	// until is when the doubt is forgotten.
	until time.Time
}

// probes is the state of the loop that probes targets; one goroutine owns it.
type probes struct {
	instance *Instance
	doubts   map[tracker.Key]doubt
	// next is when a service is looked at again.
	next map[tracker.Service]time.Time
}

// probe looks for targets to probe until done is closed.
func (i *Instance) probe(done <-chan struct{}) error {
	p := &probes{instance: i, doubts: map[tracker.Key]doubt{}, next: map[tracker.Service]time.Time{}}
	t := time.NewTicker(probePeriod)
	defer t.Stop()
	for {
		select {
		case <-done:
			return nil
		case now := <-t.C:
			p.look(now)
		}
	}
}

// look starts the probes that are due.
func (p *probes) look(now time.Time) {
	s := p.instance.settings.Current()
	if s == nil {
		return
	}
	services := p.instance.services.all()
	maps.DeleteFunc(p.doubts, func(_ tracker.Key, d doubt) bool { return now.Sub(d.until) >= removedLife })
	maps.DeleteFunc(p.next, func(k tracker.Service, _ time.Time) bool { return services[k] == nil })
	for k, v := range services {
		policy := s.Service(k.Place, k.Service)
		if policy == nil || policy.Probes == 0 || !v.home.Load() || now.Before(p.next[k]) {
			continue
		}
		claim, wait := v.prober.Next(now, p.candidates(k, v.dispatcher.Snapshot(now), now))
		p.next[k] = now.Add(wait)
		if claim == nil {
			continue
		}
		key := tracker.Key{Place: k.Place, Service: k.Service, Address: claim.Target}
		d := p.doubts[key]
		d.same++
		p.doubts[key] = d
		go p.instance.ask(key, v, claim)
	}
}

// candidates lists the owned targets about which traffic tells nothing.
func (p *probes) candidates(k tracker.Service, s dispatcher.Status, now time.Time) []prober.Candidate {
	believed := map[netip.AddrPort]dispatcher.TargetStatus{}
	for _, t := range s.Targets {
		believed[t.Address] = t
	}
	var found []prober.Candidate
	for _, t := range p.instance.tracker.All(k.Place, k.Service) {
		b, usable := believed[t.Address]
		key := tracker.Key{Place: k.Place, Service: k.Service, Address: t.Address}
		reason := reason(t, b, usable, now)
		d := p.doubts[key]
		if reason == prober.Known {
			if now.After(d.until) {
				delete(p.doubts, key)
			}
			continue
		}
		if d.reason != reason {
			d = doubt{reason: reason, since: now}
		}
		d.until = now.Add(doubtMemory)
		p.doubts[key] = d
		found = append(found, prober.Candidate{Target: t.Address, Reason: reason, LastReport: t.LastAnswered, ReasonSince: d.since, Unchanged: d.same})
	}
	return found
}

// reason tells why traffic says nothing about a target.
func reason(t tracker.Target, b dispatcher.TargetStatus, usable bool, now time.Time) prober.Reason {
	switch {
	case t.Suspected:
		return prober.Suspected
	case usable && !b.Owned:
		return prober.Known
	case usable && now.Before(b.EjectedUntil):
		return prober.Ejected
	case usable && t.LastAnswered.IsZero():
		return prober.Cold
	case usable && b.Slowdown > slow && b.Outstanding == 0:
		return prober.Idle
	}
	return prober.Known
}

// slow is the latency, in normal latencies, from which an idle target counts as
// recently bad.
const slow = 3

// ask sends one probe and hands the answer to the parts that learn from it. It
// waits for as long as the connection lives: a target that is stopped reads the
// probe later, and the budget counts it until then.
func (i *Instance) ask(k tracker.Key, s *service, c *prober.Claim) {
	defer func() { s.prober.Done(c, time.Now()) }()
	sent := time.Now()
	if !s.prober.BeginSend(c, sent) {
		return
	}
	i.accounts.Counters(accountant.Key{Place: k.Place, Service: k.Service}).Probes.Add(1)
	a, _, err := i.sender.Send(context.Background(), k.Address, sender.Request{
		Method:           http.MethodGet,
		Path:             healthPath,
		Header:           http.Header{headerProbe: {"1"}},
		MaxResponseBytes: healthLimit,
	})
	if err != nil {
		return
	}
	now := time.Now()
	i.evidence(k, a.Header, sent, now)
	if a.Status == http.StatusOK {
		s.dispatcher.AllowTrial(k.Address, now)
	}
	s.dispatcher.UpdateLoad(k.Address, dispatcher.ParseReport(a.Header.Get(handler.HeaderReport)), now)
}
