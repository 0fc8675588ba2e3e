package composer

import (
	"context"
	"net/netip"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/limiter"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
)

// limitOwner returns the owner of a run of a target in a zone and whether it is this
// instance.
func (i *Instance) limitOwner(key, zone string) (limiter.Owner, bool) {
	members := i.relayer.Members()
	o := i.limitOwners.Choose(key, zone, i.relayer.Self(), members)
	// The share is of the instances that are known; others may grant theirs meanwhile.
	o.Share *= min(1, float64(1+len(members))/float64(i.fleetSize(time.Now()).Instances))
	return o, o.Peer == i.self.Peer
}

// askPermit asks the owner of a run whether a message may be sent to the run.
func (i *Instance) askPermit(ctx context.Context, owner netip.AddrPort, key, zone string, known limiter.Fact) (limiter.Permit, error) {
	p, err := i.relayer.AskPermit(ctx, owner, relayer.PermitRequest{Start: key, Zone: zone, Rate: known.Rate, Age: known.Age})
	return limiter.Permit{Wait: p.Wait, Fact: limiter.Fact{Rate: p.Rate, Age: p.Age}}, err
}

// grantPermit answers another instance that asks for a permit.
func (i *Instance) grantPermit(q relayer.PermitRequest, now time.Time) relayer.PermitResponse {
	p := i.forwarder.GrantPermit(q.Start, q.Zone, limiter.Fact{Rate: q.Rate, Age: q.Age}, now)
	return relayer.PermitResponse{Wait: p.Wait, Rate: p.Fact.Rate, Age: p.Fact.Age}
}

// spreadLimit tells the other instances the limit that a run of a target names.
func (i *Instance) spreadLimit(service, key string, rate float64, now time.Time) {
	i.relayer.Spread(relayer.Rumor{Topic: relayer.Limit, Service: service, Start: key, Rate: rate}, now)
}
