package forwarder

import (
	"context"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// searchTimeout bounds a search in a remote zone. The placer stops waiting earlier, and
// a report that arrives after this time is outdated.
const searchTimeout = 60 * time.Millisecond

// OfferTargets returns targets of the local zone with free slots, on behalf of an
// instance in a remote zone.
func (f *Forwarder) OfferTargets(ctx context.Context, service string) []placer.TargetOffer {
	f.mutex.Lock()
	s := f.services[service]
	f.mutex.Unlock()
	if s == nil {
		return nil
	}
	return s.offerTargets(ctx)
}

// search asks an instance in a remote zone for targets with free slots and passes
// their load reports to the placer.
func (s *service) search(zone string, asked time.Time) {
	f := s.forwarder
	f.counters.searches.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
	defer cancel()
	offers := f.options.Search(ctx, zone, s.name)
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, o := range offers {
		s.placer.Report(o.ID, o.Load, asked, now)
	}
	s.placer.SearchEnded(zone)
	s.step(now)
}

// offerTargets returns local targets with free slots. It probes some targets if no
// target with a free slot and a slowdown of at most ImmediateSlowdown is known.
func (s *service) offerTargets(ctx context.Context) []placer.TargetOffer {
	now := time.Now()
	offers, probes := s.offersOrProbes(now)
	probed := make(chan struct{}, len(probes))
	for _, t := range probes {
		go func() {
			s.probe(t, now)
			probed <- struct{}{}
		}()
	}
	for left := len(probes); left > 0 && len(offers) == 0; left-- {
		select {
		case <-probed:
			offers = s.targetOffers(placer.ImmediateSlowdown)
		case <-ctx.Done():
			left = 0
		}
	}
	// No probed target is known to be fast enough to be used at once. Offer the slower
	// ones too.
	if len(probes) > 0 && len(offers) == 0 {
		offers = s.targetOffers(placer.AnySlowdown)
	}
	s.forwarder.counters.targetsOffered.Inc(int64(len(offers)))
	return offers
}

// offersOrProbes returns the local targets that are known to have free slots and a
// slowdown of at most ImmediateSlowdown. If there are none, it returns the targets to
// probe.
func (s *service) offersOrProbes(now time.Time) ([]placer.TargetOffer, []placer.Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if offers := s.placer.OfferTargets(placer.ImmediateSlowdown, now); len(offers) > 0 {
		return offers, nil
	}
	return nil, s.placer.LocalProbes(now)
}

// targetOffers returns the local targets with free slots and at most the given
// slowdown.
func (s *service) targetOffers(maxSlowdown float64) []placer.TargetOffer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.placer.OfferTargets(maxSlowdown, time.Now())
}
