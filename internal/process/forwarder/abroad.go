package forwarder

import (
	"context"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// seekTimeout ends a question to another zone. The placer waits less, and what is
// told later is out of date.
const seekTimeout = 60 * time.Millisecond

// Lend returns targets of the own zone that have room for a request of another zone.
func (f *Forwarder) Lend(ctx context.Context, service string) []placer.TargetOffer {
	f.mutex.Lock()
	s := f.services[service]
	f.mutex.Unlock()
	if s == nil {
		return nil
	}
	return s.lend(ctx)
}

// seek asks an instance of another zone for room there.
func (s *service) seek(zone string, asked time.Time) {
	f := s.forwarder
	f.counters.searches.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), seekTimeout)
	defer cancel()
	loans := f.options.Seek(ctx, zone, s.name)
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, l := range loans {
		s.placer.Report(l.ID, l.Load, asked, now)
	}
	s.placer.SearchEnded(zone)
	s.step(now)
}

// lend returns targets near by that have room, after asking some.
func (s *service) lend(ctx context.Context) []placer.TargetOffer {
	now := time.Now()
	loans, asked := s.scout(now)
	answered := make(chan struct{}, len(asked))
	for _, t := range asked {
		go func() {
			s.probe(t, now)
			answered <- struct{}{}
		}()
	}
	for left := len(asked); left > 0 && len(loans) == 0; left-- {
		select {
		case <-answered:
			loans = s.loans(placer.ImmediateSlowdown)
		case <-ctx.Done():
			left = 0
		}
	}
	if len(asked) > 0 && len(loans) == 0 {
		loans = s.loans(placer.AnySlowdown)
	}
	s.forwarder.counters.lent.Inc(int64(len(loans)))
	return loans
}

// scout returns the targets that are known to have room or, if there are none,
// those to ask.
func (s *service) scout(now time.Time) ([]placer.TargetOffer, []placer.Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if loans := s.placer.OfferTargets(placer.ImmediateSlowdown, now); len(loans) > 0 {
		return loans, nil
	}
	return nil, s.placer.LocalProbes(now)
}

func (s *service) loans(factor float64) []placer.TargetOffer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.placer.OfferTargets(factor, time.Now())
}
