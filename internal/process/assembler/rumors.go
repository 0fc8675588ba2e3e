package assembler

import (
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/process/tracker"
)

// receiveRumor passes the rumor of a peer to the part that it concerns.
func (i *Instance) receiveRumor(r relayer.Rumor, now time.Time) {
	switch r.Topic {
	case relayer.Draining:
		key := tracker.Key{Place: r.Place, Service: r.Service, Address: r.Target}
		if i.tracker.Receive(tracker.Rumor{Key: key, Start: r.Start, Age: r.Age()}, now) {
			i.triggerRefresh()
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
		i.recordSuccessor(r, now)
	case relayer.Outage:
		i.platformOutages.Store(r.Instance, now.Add(r.TTL))
	}
}

// spreadQuarantineRumor spreads that a request was lost with a run of a target, or
// that the request got its complete response and is cleared.
func (i *Instance) spreadQuarantineRumor(r quarantiner.Rumor) {
	topic := relayer.Loss
	if r.Cleared {
		topic = relayer.Cleared
	}
	i.relayer.Spread(relayer.Rumor{
		Topic:       topic,
		Place:       r.Service.Place,
		Service:     r.Service.Service,
		Target:      r.Run.Address,
		Start:       r.Run.Start,
		Fingerprint: uint64(r.Fingerprint),
	}, time.Now())
}

// spreadDraining logs and spreads that runs of targets are draining.
func (i *Instance) spreadDraining(rumors []tracker.Rumor) {
	for _, r := range rumors {
		_ = level.Info(i.options.Logger).Log("msg", "target leaving", "place", r.Key.Place,
			"service", r.Key.Service, "target", r.Key.Address, "start", r.Start)
		i.relayer.Spread(relayer.Rumor{
			Topic:   relayer.Draining,
			Place:   r.Key.Place,
			Service: r.Key.Service,
			Target:  r.Key.Address,
			Start:   r.Start,
			TTL:     relayer.Draining.TTL() - r.Age,
		}, time.Now())
	}
}
