package assembler

import (
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/process/tracker"
)

// hear takes in what a peer told.
func (i *Instance) hear(r relayer.Rumor, now time.Time) {
	switch r.Topic {
	case relayer.Draining:
		key := tracker.Key{Place: r.Place, Service: r.Service, Address: r.Target}
		if i.tracker.Receive(tracker.Rumor{Key: key, Start: r.Start, Age: r.Age()}, now) {
			i.wake()
		}
	case relayer.Loss, relayer.Cleared:
		i.quarantine.Receive(quarantiner.Rumor{
			Service:     quarantiner.Service{Place: r.Place, Service: r.Service},
			Fingerprint: quarantiner.Fingerprint(r.Fingerprint),
			Run:         quarantiner.Run{Address: r.Target, Start: r.Start},
			Cleared:     r.Topic == relayer.Cleared,
			Age:         r.Age(),
		}, now)
	case relayer.Load:
		i.loads.Record(r.Place, r.Service, r.Instance, r.Rate, now.Add(r.TTL))
	case relayer.Successor:
		i.hearHeir(r, now)
	case relayer.Outage:
		i.outages.Store(r.Instance, now.Add(r.TTL))
	}
}

// tellLoss spreads the loss of a request, or that it has been answered whole since.
func (i *Instance) tellLoss(u quarantiner.Rumor) {
	topic := relayer.Loss
	if u.Cleared {
		topic = relayer.Cleared
	}
	i.relayer.Spread(relayer.Rumor{
		Topic:       topic,
		Place:       u.Service.Place,
		Service:     u.Service.Service,
		Target:      u.Run.Address,
		Start:       u.Run.Start,
		Fingerprint: uint64(u.Fingerprint),
	}, time.Now())
}

// tellLeaving spreads that runs of targets are leaving.
func (i *Instance) tellLeaving(told []tracker.Rumor) {
	for _, u := range told {
		_ = level.Info(i.options.Logger).Log("msg", "target leaving", "place", u.Key.Place,
			"service", u.Key.Service, "target", u.Key.Address, "start", u.Start)
		i.relayer.Spread(relayer.Rumor{
			Topic:   relayer.Draining,
			Place:   u.Key.Place,
			Service: u.Key.Service,
			Target:  u.Key.Address,
			Start:   u.Start,
			TTL:     relayer.Draining.TTL() - u.Age,
		}, time.Now())
	}
}
