package composer

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/limiter"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/process/sizer"
	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// recordConfirmation records that a peer confirmed that its documents are current.
func (i *Instance) recordConfirmation(peer netip.AddrPort, now time.Time) {
	i.syncer.RecordConfirmation(peer, now)
}

// confirmationTTL is the time for which the documents count as current after the last
// read of the platform or the last confirmation by a peer. After that time, the
// instance assumes that its zone cannot reach the platform, and accepts documents from
// any zone.
const confirmationTTL = 2 * time.Second

// documentsCurrent reports whether this instance's documents are known to be current, or are
// just being read from the platform after a start. A document that a ping of another zone
// announces meanwhile is not needed.
func (i *Instance) documentsCurrent(now time.Time) bool {
	if !i.platformAwaited.Load() {
		return true
	}
	c := i.syncer.CurrentAsOf()
	return !c.IsZero() && now.Sub(c) < confirmationTTL
}

// membersChanged updates what the membership tells.
func (i *Instance) membersChanged(members []detector.Member, changes []detector.Change) {
	now := time.Now()
	i.forgetFacts(changes)
	i.sizer.Update(members, now)
	i.logSharers(i.fleetSize(now).Known)
}

// fleetSize returns the number of instances that share the fleet's budgets.
func (i *Instance) fleetSize(now time.Time) sizer.Size {
	return i.sizer.Size(i.registrar.Listed(), now)
}

// logSharers logs the number of known instances, which share the fleet's budgets, if it has
// changed by a quarter or more since it was last logged. relayer.Relayer orders the calls.
func (i *Instance) logSharers(n int) {
	before := i.loggedSharers
	if 4*max(n-before, before-n) < before {
		return
	}
	i.loggedSharers = n
	_ = level.Info(i.options.Logger).Log("msg", "sharers changed", "sharers", n, "was", before)
}

// spreadRumor sends the other instances a rumor about a request that may crash targets:
// a target did not complete its response to the request, or the request was cleared
// because it got a complete response.
func (i *Instance) spreadRumor(r quarantiner.Rumor, now time.Time) {
	o := relayer.Rumor{
		Topic: relayer.Loss, Service: r.Service.Service, Target: r.Run.Address, Start: r.Run.Start,
		Fingerprint: uint64(r.Fingerprint),
	}
	if r.Cleared {
		o.Topic = relayer.Cleared
	}
	i.relayer.Spread(o, now)
}

// targetReplaced marks a run as leaving because another target responded at its
// address, and tells the other instances.
func (i *Instance) targetReplaced(key string, now time.Time) {
	if i.registrar.MarkLeaving(key, "another target responded at its address", now) {
		i.updateTargets(now)
	}
	i.relayer.Spread(relayer.Rumor{Topic: relayer.Draining, Start: key}, now)
}

// targetLeaving marks a run as leaving because it said so itself, and tells the other
// instances.
func (i *Instance) targetLeaving(key string, now time.Time) {
	if !i.registrar.MarkLeaving(key, "it said so in a response", now) {
		return
	}
	i.updateTargets(now)
	i.relayer.Spread(relayer.Rumor{Topic: relayer.Draining, Start: key}, now)
}

// targetWarmup records how long a run says that it stays cold, and reports whether that is
// news.
func (i *Instance) targetWarmup(service, key string, left time.Duration, now time.Time) bool {
	if !i.registrar.RecordWarmup(key, left, now) {
		return false
	}
	i.targetsMutex.Lock()
	defer i.targetsMutex.Unlock()
	if end, known := i.registrar.WarmupEnd(key); known {
		i.forwarder.SetWarmup(service, key, end, now)
	}
	return true
}

// receiveRumor applies a rumor of another instance.
func (i *Instance) receiveRumor(r relayer.Rumor, now time.Time) {
	switch r.Topic {
	case relayer.Draining:
		if i.registrar.MarkLeaving(r.Start, "a peer reported that it is leaving", now) {
			i.updateTargets(now)
		}
	case relayer.Limit:
		i.forwarder.ReceiveLimit(r.Service, r.Start, limiter.Fact{Rate: r.Rate, Age: r.Age()}, now)
	case relayer.Loss, relayer.Cleared:
		i.forwarder.ReceiveRumor(quarantiner.Rumor{
			Service:     quarantiner.Service{Service: r.Service},
			Fingerprint: quarantiner.Fingerprint(r.Fingerprint),
			Run:         quarantiner.Run{Address: r.Target, Start: r.Start},
			Cleared:     r.Topic == relayer.Cleared,
			Age:         r.Age(),
		}, now)
	default:
		_ = level.Debug(i.options.Logger).Log("msg", "rumor ignored", "topic", r.Topic)
	}
}

// canSearch reports whether an instance in a remote zone can be asked for targets
// with free slots.
func (i *Instance) canSearch(zone string, now time.Time) bool {
	_, found := i.seeker.Peer(zone, i.relayer.Members(), now)
	return found
}

// search asks an instance in a remote zone for targets there with free slots.
func (i *Instance) search(ctx context.Context, zone, service string) []placer.TargetOffer {
	peer, found := i.seeker.Peer(zone, i.relayer.Members(), time.Now())
	if !found {
		return nil
	}
	received, err := i.relayer.FindTargets(ctx, peer, service)
	i.seeker.RecordResult(zone, err == nil, time.Now())
	if err != nil {
		_ = level.Debug(i.options.Logger).Log("msg", "zone silent", "zone", zone, "peer", peer, "err", err)
	}
	var offers []placer.TargetOffer
	for _, o := range received {
		offers = append(offers, placer.TargetOffer{ID: o.Target, Load: placer.Load{
			Running: o.Running, Waiting: o.Waiting, Slots: o.Slots, Slowdown: float64(o.Slowdown),
		}})
	}
	return offers
}

// offerTargets returns local targets with free slots, on behalf of an instance in a
// remote zone.
func (i *Instance) offerTargets(ctx context.Context, service string) []relayer.TargetOffer {
	var offers []relayer.TargetOffer
	for _, o := range i.forwarder.OfferTargets(ctx, service) {
		offers = append(offers, relayer.TargetOffer{
			Target: o.ID, Running: o.Load.Running, Waiting: o.Load.Waiting, Slots: o.Load.Slots, Slowdown: float32(o.Load.Slowdown),
		})
	}
	return offers
}
