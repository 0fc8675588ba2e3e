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
	// probePeriod is the time between two checks for targets to probe.
	probePeriod = 50 * time.Millisecond
	// healthPath is the health endpoint of a target.
	healthPath = "/health"
	// maxHealthResponseBytes bounds the response of a health endpoint.
	maxHealthResponseBytes = 4096
	// reasonRetention is how long a reason is kept after it last applied. Traffic may end
	// a reason for a short time only. If the reason applies again within the retention,
	// its count of probes continues, so a target that responds only to probes is probed
	// less often.
	reasonRetention = 30 * time.Second
	// headerProbe marks a request as a probe.
	headerProbe = "Oriole-Probe"
)

// reasonState is the state of a reason to probe a target.
type reasonState struct {
	reason prober.Reason
	// since is when the reason arose.
	since time.Time
	// unchanged is the number of probes sent since then. None of them has changed the
	// reason.
	unchanged int
	// expires is when the reason is dropped unless it applies again.
	expires time.Time
}

// probeLoop is the state of the loop that probes targets. It belongs to one goroutine.
type probeLoop struct {
	instance *Instance
	reasons  map[tracker.Key]reasonState
	// nextCheck is when a service is checked again.
	nextCheck map[tracker.Service]time.Time
}

// runProbes probes targets until done is closed.
func (i *Instance) runProbes(done <-chan struct{}) error {
	p := &probeLoop{instance: i, reasons: map[tracker.Key]reasonState{}, nextCheck: map[tracker.Service]time.Time{}}
	t := time.NewTicker(probePeriod)
	defer t.Stop()
	for {
		select {
		case <-done:
			return nil
		case now := <-t.C:
			p.startProbes(now)
		}
	}
}

// startProbes starts the probes that are due, at most one per service and call.
func (p *probeLoop) startProbes(now time.Time) {
	s := p.instance.settings.Current()
	if s == nil {
		return
	}
	services := p.instance.services.all()
	maps.DeleteFunc(p.reasons, func(_ tracker.Key, r reasonState) bool { return now.Sub(r.expires) >= removedRetention })
	maps.DeleteFunc(p.nextCheck, func(k tracker.Service, _ time.Time) bool { return services[k] == nil })
	for k, svc := range services {
		policy := s.Service(k.Place, k.Service)
		if policy == nil || policy.Probes == 0 || !svc.activeHome.Load() || now.Before(p.nextCheck[k]) {
			continue
		}
		claim, wait := svc.prober.Next(now, p.candidates(k, svc.dispatcher.Snapshot(now), now))
		p.nextCheck[k] = now.Add(wait)
		if claim == nil {
			continue
		}
		key := tracker.Key{Place: k.Place, Service: k.Service, Address: claim.Target}
		state := p.reasons[key]
		state.unchanged++
		p.reasons[key] = state
		go p.instance.sendProbe(key, svc, claim)
	}
}

// candidates returns the targets of a service that may be probed, because traffic does
// not show their state. It also updates the states of their reasons.
func (p *probeLoop) candidates(k tracker.Service, s dispatcher.Status, now time.Time) []prober.Candidate {
	statuses := map[netip.AddrPort]dispatcher.TargetStatus{}
	for _, t := range s.Targets {
		statuses[t.Address] = t
	}
	var candidates []prober.Candidate
	for _, t := range p.instance.tracker.All(k.Place, k.Service) {
		status, usable := statuses[t.Address]
		key := tracker.Key{Place: k.Place, Service: k.Service, Address: t.Address}
		reason := probeReason(t, status, usable, now)
		state := p.reasons[key]
		if reason == prober.Known {
			if now.After(state.expires) {
				delete(p.reasons, key)
			}
			continue
		}
		if state.reason != reason {
			state = reasonState{reason: reason, since: now}
		}
		state.expires = now.Add(reasonRetention)
		p.reasons[key] = state
		candidates = append(candidates, prober.Candidate{Target: t.Address, Reason: reason, LastReport: t.LastAnswered, ReasonSince: state.since, Unchanged: state.unchanged})
	}
	return candidates
}

// probeReason returns why traffic does not show the state of a target, or prober.Known if
// the target needs no probe. A suspected target is probed whoever owns it. The other
// reasons apply only to usable targets that this instance owns.
func probeReason(t tracker.Target, status dispatcher.TargetStatus, usable bool, now time.Time) prober.Reason {
	switch {
	case t.Suspected:
		return prober.Suspected
	case usable && !status.Owned:
		return prober.Known
	case usable && now.Before(status.EjectedUntil):
		return prober.Ejected
	case usable && t.LastAnswered.IsZero():
		return prober.Cold
	case usable && status.Slowdown > probeSlowdown && status.Outstanding == 0:
		return prober.Idle
	}
	return prober.Known
}

// probeSlowdown is the slowdown (latency divided by normal latency) above which an idle
// target is probed, because traffic no longer shows whether it is still slow.
const probeSlowdown = 3

// sendProbe sends one probe and passes the response to the tracker and the dispatcher.
// It has no timeout and waits until the connection ends: a paused target reads the
// probe when it continues, and the probe budget counts the probe until then.
func (i *Instance) sendProbe(k tracker.Key, s *service, c *prober.Claim) {
	defer func() { s.prober.Done(c, time.Now()) }()
	sent := time.Now()
	if !s.prober.BeginSend(c, sent) {
		return
	}
	i.costs.Counters(accountant.Key{Place: k.Place, Service: k.Service}).Probes.Add(1)
	response, _, err := i.sender.Send(context.Background(), k.Address, sender.Request{
		Method:           http.MethodGet,
		Path:             healthPath,
		Header:           http.Header{headerProbe: {"1"}},
		MaxResponseBytes: maxHealthResponseBytes,
	})
	if err != nil {
		return
	}
	now := time.Now()
	i.observeTarget(k, response.Header, sent, now)
	if response.Status == http.StatusOK {
		s.dispatcher.AllowTrial(k.Address, now)
	}
	s.dispatcher.UpdateLoad(k.Address, dispatcher.ParseReport(response.Header.Get(handler.HeaderReport)), now)
}
