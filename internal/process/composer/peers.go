package composer

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// vouched takes in that a peer's documents are current.
func (i *Instance) vouched(peer netip.AddrPort, now time.Time) {
	i.syncer.RecordConfirmation(peer, now)
}

// believed is how long after the last vouching the documents count as current: an
// instance whose zone has lost the platform takes them from anywhere.
const believed = 2 * time.Second

// current reports whether this instance's documents are known to be current.
func (i *Instance) current(now time.Time) bool {
	c := i.syncer.CurrentAsOf()
	return !c.IsZero() && now.Sub(c) < believed
}

// membersChanged counts the fleet. Members that failed a moment ago count until
// they are forgotten: they may run on behind a cut and use their shares of the
// fleet's budgets.
func (i *Instance) membersChanged(members []detector.Member, _ []detector.Change) {
	n := 1
	for _, m := range members {
		if m.State != detector.Ended {
			n++
		}
	}
	i.fleet.Store(int64(n))
}

// spreadLoss tells the other instances that a request was lost with a target.
func (i *Instance) spreadLoss(r quarantiner.Rumor, now time.Time) {
	o := relayer.Rumor{
		Topic: relayer.Loss, Service: r.Service.Service, Target: r.Run.Address, Start: r.Run.Start,
		Fingerprint: uint64(r.Fingerprint),
	}
	if r.Cleared {
		o.Topic = relayer.Cleared
	}
	i.relayer.Spread(o, now)
}

// targetLeft takes in that another target answered at a run's address.
func (i *Instance) targetLeft(key string, now time.Time) {
	i.registrar.MarkLeaving(key, "another target answered at its address", now)
	i.useTargets(now)
	i.relayer.Spread(relayer.Rumor{Topic: relayer.Draining, Start: key}, now)
}

// hear takes in what other instances tell.
func (i *Instance) hear(r relayer.Rumor, now time.Time) {
	switch r.Topic {
	case relayer.Draining:
		i.registrar.MarkLeaving(r.Start, "a peer", now)
		i.useTargets(now)
	case relayer.Loss, relayer.Cleared:
		i.forwarder.Hear(quarantiner.Rumor{
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

// scouted reports whether an instance of another zone can be asked for room there.
func (i *Instance) scouted(zone string, now time.Time) bool {
	_, found := i.seeker.Peer(zone, i.relayer.Members(), now)
	return found
}

// seek asks an instance of another zone for targets there that have room.
func (i *Instance) seek(ctx context.Context, zone, service string) []placer.TargetOffer {
	peer, found := i.seeker.Peer(zone, i.relayer.Members(), time.Now())
	if !found {
		return nil
	}
	findings, err := i.relayer.FindTargets(ctx, peer, service)
	i.seeker.RecordResult(zone, err == nil, time.Now())
	if err != nil {
		_ = level.Debug(i.options.Logger).Log("msg", "zone silent", "zone", zone, "peer", peer, "err", err)
	}
	var loans []placer.TargetOffer
	for _, f := range findings {
		loans = append(loans, placer.TargetOffer{ID: f.Target, Load: placer.Load{
			Running: f.Running, Waiting: f.Waiting, Slots: f.Slots, Slowdown: float64(f.Slowdown),
		}})
	}
	return loans
}

// find looks for targets with room on behalf of another zone.
func (i *Instance) find(ctx context.Context, service string) []relayer.TargetOffer {
	var findings []relayer.TargetOffer
	for _, l := range i.forwarder.Lend(ctx, service) {
		findings = append(findings, relayer.TargetOffer{
			Target: l.ID, Running: l.Load.Running, Waiting: l.Load.Waiting, Slots: l.Load.Slots, Slowdown: float32(l.Load.Slowdown),
		})
	}
	return findings
}
