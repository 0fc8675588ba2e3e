package forwarder

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/process/limiter"
	"oriolecourse.example/oriolecourse/internal/request/admitter"
	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// The purposes of messages to a limited target, in metrics.
const (
	forRequest = "request"
	forProbe   = "probe"
)

// permitTimeout bounds the request for a permit. The owner is mostly in the same zone and
// decides at once.
const permitTimeout = 50 * time.Millisecond

// warmupHold is how long the owner of a run counts it as cold after another instance has
// asked for a permit of its warm-up. Each further request extends it.
const warmupHold = time.Second

// minWithheld is the shortest time for which a request that was not sent is kept from its
// target.
const minWithheld = time.Millisecond

// observeLimit records the limit that a response of a target names. The response to a
// probe need not name it: without a limit, it says nothing.
func (s *service) observeLimit(t placer.Target, rate float64, purpose string, now time.Time) {
	f := s.forwarder
	if rate != limiter.Unlimited {
		f.counters.countLimited(s.name, purpose)
	} else if purpose == forProbe {
		return
	}
	before, spread := f.limiter.Observe(t.ID, rate, now)
	if rate != before {
		_ = level.Info(f.options.Logger).Log("msg", "limit changed", "service", s.name, "target", t.ID,
			"address", t.Address, "limit", rate, "before", before)
		s.updateLimited(t.ID, now)
	}
	if spread {
		f.options.SpreadLimit(s.name, t.ID, rate, now)
	}
}

// ReceiveLimit applies what another instance knows of the limit of a run.
func (f *Forwarder) ReceiveLimit(service, key string, known limiter.Fact, now time.Time) {
	if f.limiter.Receive(key, known, now) {
		f.service(service).updateLimited(key, now)
	}
}

// updateLimited tells the placer whether a run names a limit.
func (s *service) updateLimited(key string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.placer.SetLimited(key, s.forwarder.limiter.Rate(key) != limiter.Unlimited)
	s.step(now)
}

// needsRecheck reports whether this instance should send a request to a limited target,
// to learn whether the target still names the limit.
func (s *service) needsRecheck(t placer.Target, now time.Time) bool {
	_, own := s.forwarder.options.LimitOwner(t.ID, t.Zone)
	return own && s.forwarder.limiter.NeedsRecheck(t.ID, now)
}

// closed reports whether a target has come to take no request since it was chosen, and how
// long that lasts.
func (s *service) closed(t placer.Target, now time.Time) (wait time.Duration, closed bool) {
	a := s.forwarder.admitter.Run(t.ID).Admit(admitter.Request, now)
	if a.Admitted {
		return 0, false
	}
	return max(a.Opens.Sub(now), minWithheld), true
}

// permit asks whether a request may be sent to a target now. It returns 0, or the time
// until the next permit.
func (s *service) permit(ctx context.Context, t placer.Target) time.Duration {
	f, now := s.forwarder, time.Now()
	if wait, closed := s.closed(t, now); closed {
		return wait
	}
	if f.limiter.Bound(t.ID, now) == limiter.Unlimited {
		return 0
	}
	known := f.limiter.Claim(t.ID, now)
	owner, own := f.options.LimitOwner(t.ID, t.Zone)
	if own {
		p, _ := f.limiter.Grant(t.ID, f.limiter.Fact(t.ID, now), owner.Share, now)
		return s.recordPermit(t, p)
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	p, err := f.options.AskPermit(ctx, owner.Peer, t.ID, t.Zone, known)
	if err != nil {
		_ = level.Debug(f.options.Logger).Log("msg", "owner silent", "target", t.ID, "peer", owner.Peer, "err", err)
		p = limiter.Permit{Wait: limiter.NotOwnerWait, Fact: known}
	}
	if p.Fact.Rate != known.Rate || !f.isWarmupRate(p.Fact.Rate) {
		f.ReceiveLimit(s.name, t.ID, p.Fact, time.Now())
	}
	return s.recordPermit(t, p)
}

// recordPermit records the answer to a request for a permit and returns the time until the
// next one.
func (s *service) recordPermit(t placer.Target, p limiter.Permit) time.Duration {
	s.forwarder.counters.countPermit(s.name, p.Wait == 0)
	if p.Wait == 0 {
		s.forwarder.admitter.Run(t.ID).Granted()
	}
	return p.Wait
}

// GrantPermit answers the request of another instance, which knows the fact, for a permit.
// An instance that is not the owner of the run grants none.
func (f *Forwarder) GrantPermit(key, zone string, known limiter.Fact, now time.Time) limiter.Permit {
	owner, own := f.options.LimitOwner(key, zone)
	if !own {
		return limiter.Permit{Wait: limiter.NotOwnerWait, Fact: known}
	}
	if f.isWarmupRate(known.Rate) {
		f.limiter.HoldWarmup(key, limiter.Warmup{Rate: known.Rate, Until: now.Add(warmupHold)}, now)
		known = f.limiter.Fact(key, now)
	}
	p, changed := f.limiter.Grant(key, known, owner.Share, now)
	if changed {
		f.updateLimited(key, now)
	}
	return p
}

// updateLimited is service.updateLimited for a run whose service is not known here.
func (f *Forwarder) updateLimited(key string, now time.Time) {
	for _, s := range f.allServices() {
		s.updateLimited(key, now)
	}
}
