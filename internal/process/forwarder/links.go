package forwarder

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
	"oriolecourse.example/oriolecourse/internal/process/registrar"
	"oriolecourse.example/oriolecourse/internal/request/admitter"
	"oriolecourse.example/oriolecourse/internal/request/placer"
)

const (
	// checkTimeout bounds a contact of a check of the links. It is longer than an
	// overloaded target takes to respond to a probe.
	checkTimeout = 400 * time.Millisecond
	// checkTargets is the number of targets that a check contacts. Up to half of the
	// targets may be dead when it is due.
	checkTargets = 6
	// checkConnections is the number of connections to a target that checks may open
	// beside those for requests, which may all hang.
	checkConnections = 2
)

// CutOff reports whether the instance is cut off from the targets of all services.
func (f *Forwarder) CutOff() bool { return f.cutOff.Load() }

// updateCutOff reports a change of CutOff.
func (f *Forwarder) updateCutOff(now time.Time) {
	found, all := false, true
	for _, s := range f.allServices() {
		if len(s.linkTargets()) > 0 {
			found, all = true, all && s.surveyor.CutOff()
		}
	}
	if cutOff := found && all; f.cutOff.Swap(cutOff) != cutOff {
		f.options.OnCutOff(cutOff, now)
	}
}

// recordContact records the first exchange of a connection to a target.
func (f *Forwarder) recordContact(target netip.AddrPort, err error) {
	now := time.Now()
	f.counters.countContact(err == nil)
	services := f.servicesByAddress.Load()
	if services == nil || (*services)[target] == nil {
		return
	}
	s := (*services)[target]
	if err == nil {
		s.recordAnswer(now)
		return
	}
	s.surveyor.RecordFailure(target, now)
	s.checkLinks(now)
}

// setLinks sets the targets whose links are surveyed.
func (f *Forwarder) setLinks(usable map[string][]registrar.UsableRun) {
	byAddress := map[netip.AddrPort]*service{}
	for name, runs := range usable {
		for i := range runs {
			byAddress[runs[i].Address] = f.service(name)
		}
	}
	f.servicesByAddress.Store(&byAddress)
}

// CheckLinks starts the checks of the links to targets that are due.
func (f *Forwarder) CheckLinks(now time.Time) {
	for _, s := range f.allServices() {
		s.checkLinks(now)
	}
	f.updateCutOff(now)
}

// relays reports whether requests are relayed to other instances, because this one is cut
// off from the targets of the service and another one may not be. Without targets another
// instance cannot serve them either.
func (s *service) relays() bool {
	return s.surveyor.CutOff() && len(s.linkTargets()) > 0 && s.forwarder.options.CanRelay()
}

// linkTargets returns the targets of the service.
func (s *service) linkTargets() []placer.Target {
	if targets := s.targets.Load(); targets != nil {
		return *targets
	}
	return nil
}

// recordAnswer records a response of a target, on any connection.
func (s *service) recordAnswer(now time.Time) {
	if !s.surveyor.RecordAnswer() {
		return
	}
	_ = level.Warn(s.forwarder.options.Logger).Log("msg", "targets back", "service", s.name)
	s.forwarder.updateCutOff(now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.placer.ForgetFailures()
	s.step(now)
}

// checkLinks starts a check of the links to the targets if one is due.
func (s *service) checkLinks(now time.Time) {
	if !s.surveyor.Suspects() {
		return
	}
	if targets := s.contactable(s.linkTargets(), now); s.surveyor.StartCheck(len(targets), now) {
		go s.contactTargets(targets)
	}
}

// contactTargets contacts some targets on new connections. If none responds, and none has
// responded on another connection meanwhile, the instance is cut off from the service.
func (s *service) contactTargets(targets []placer.Target) {
	n := min(checkTargets, len(targets))
	answers := make(chan bool, n)
	for _, k := range rand.Perm(len(targets))[:n] {
		go func() { answers <- s.contact(targets[k]) }()
	}
	answered := false
	for range n {
		answered = <-answers || answered
	}
	now := time.Now()
	if !s.surveyor.EndCheck(answered, now) {
		return
	}
	_ = level.Warn(s.forwarder.options.Logger).Log("msg", "cut off from targets", "service", s.name, "asked", n)
	s.forwarder.updateCutOff(now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.relays() {
		return
	}
	for _, r := range s.placer.RejectAll(placer.CutOff) {
		s.deliver(r.Ticket, decision{rejection: &r})
	}
}

// contactable returns the targets that a check of the links contacts: those that admit it,
// and of these the ones that are not the last choice, if there are any.
func (s *service) contactable(targets []placer.Target, now time.Time) []placer.Target {
	var first, last []placer.Target
	for _, t := range targets {
		switch a := s.forwarder.admitter.Run(t.ID).Admit(admitter.Check, now); {
		case a.LastChoice:
			last = append(last, t)
		case a.Admitted:
			first = append(first, t)
		}
	}
	if len(first) > 0 {
		return first
	}
	return last
}

// isFrom reports whether a health response is the target's own.
func (s *service) isFrom(t placer.Target, r *sender.Response) bool {
	name := s.forwarder.options.Dialect.TargetName(r.Header)
	return name == "" || name == t.Name
}

// contact reports whether a target responds on a new connection. One that wants no message now
// has responded just before.
func (s *service) contact(t placer.Target) bool {
	if !s.admits(t, admitter.Check, time.Now()) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	q := s.probeRequest(t)
	q.NewConnection = true
	q.MaxConnections += checkConnections
	response, _, err := s.forwarder.exchanger.Send(ctx, t.Address, q)
	if err == nil && s.isFrom(t, response) {
		s.observe(t, response, forProbe, time.Now())
	}
	return err == nil
}
