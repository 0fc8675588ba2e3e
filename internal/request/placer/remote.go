package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/admitter"
)

const (
	// ImmediateSlowdown exports immediateSlowdown for the callers of OfferTargets.
	// They offer a target at or below it without waiting for other reports.
	ImmediateSlowdown = immediateSlowdown
	// AnySlowdown is a bound on the slowdown that every target meets.
	AnySlowdown = math.MaxFloat64
	// maxOffers is the number of targets that are offered to a remote zone at once:
	// one to use and one in case another request takes the first.
	maxOffers = 2
	// maxSearchZones is the number of remote zones that are searched at once. Each
	// query costs about a tenth of a request's bytes.
	maxSearchZones = 2
)

// TargetOffer names a target with free slots to an instance of a remote zone.
type TargetOffer struct {
	// ID identifies one run of a target's process.
	ID   string
	Load Load
}

// OfferTargets returns local targets with a free slot and at most the given
// slowdown, the fastest first, for a request of a remote zone. It offers none while
// requests wait here. Each offered target counts as having one more request until
// its next report, so that two zones do not get the same slot.
func (p *Placer) OfferTargets(slowdown float64, now time.Time) []TargetOffer {
	if len(p.waiting) > 0 {
		return nil
	}
	var free []*targetState
	p.collect(&p.own, &Ticket{}, now)
	for _, s := range p.own.reported {
		if p.isLocal(s) && s.admission.Admit(admitter.Offer, now).Admitted && s.reportsLoad && s.fresh(now, freshReportAge) && s.hasFreeSlot(now) && s.slowdown(now) <= slowdown {
			free = append(free, s)
		}
	}
	slices.SortFunc(free, func(a, b *targetState) int { return cmp.Compare(a.slowdown(now), b.slowdown(now)) })
	var offers []TargetOffer
	for _, s := range free[:min(maxOffers, len(free))] {
		offers = append(offers, TargetOffer{ID: s.ID, Load: s.load})
		s.load.Running++
	}
	return offers
}

// LocalProbes returns the local targets to probe for a remote zone and marks them as
// probed. It returns none while requests wait here.
func (p *Placer) LocalProbes(now time.Time) []Target {
	if len(p.waiting) > 0 {
		return nil
	}
	p.collect(&p.own, &Ticket{}, now)
	local, _ := p.probeCandidates(&p.own, now)
	return p.probe(p.drawLocal(local, localFanout, false, now), now)
}

// SearchEnded records that the search in a remote zone has ended. Before that, the
// caller passes the loads of the offered targets to Report.
func (p *Placer) SearchEnded(zone string) { delete(p.searches, zone) }

// awaitsSearch reports whether a search in a remote zone is under way and has not
// timed out.
func (p *Placer) awaitsSearch(now time.Time) bool {
	for _, began := range p.searches {
		if now.Sub(began) < probeTimeout {
			return true
		}
	}
	return false
}

// planSearch decides how to find a free slot in remote zones. It returns some of
// the zones in which an instance can be asked, and some targets of the other zones,
// which have to be probed from here.
func (p *Placer) planSearch(remote []*targetState, now time.Time) (zones []string, direct []*targetState) {
	searchable := map[string]bool{}
	for _, s := range remote {
		can, known := searchable[s.Zone]
		if !known {
			can = p.CanSearch != nil && p.CanSearch(s.Zone, now)
			searchable[s.Zone] = can
			if can && now.Sub(p.searches[s.Zone]) >= probeTimeout {
				zones = append(zones, s.Zone)
			}
		}
		if !can {
			direct = append(direct, s)
		}
	}
	return draw(p.Random, zones, maxSearchZones), draw(p.Random, direct, remoteFanout)
}
