package placer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// ImmediateSlowdown is the factor up to which a target is named without waiting for the
	// answers of others.
	ImmediateSlowdown = excellent
	// AnySlowdown is a factor that no target has.
	AnySlowdown = math.MaxFloat64
	// lendMost is the number of targets that are named to another zone at once: one
	// to use and one in case that another request takes it first.
	lendMost = 2
	// farZones is the number of other zones in which room is looked for at once; each
	// question is about a tenth of a request's bytes.
	farZones = 2
)

// TargetOffer names a target that has room to an instance of another zone.
type TargetOffer struct {
	// ID names the run among all runs.
	ID   string
	Load Load
}

// OfferTargets returns targets of the own zone that have room for a request of another
// zone at up to a factor of its usual time, the fastest first. What waits here goes
// first. Each target that is named counts one request more until it reports again,
// so that two zones are not sent to the same slot.
func (p *Placer) OfferTargets(factor float64, now time.Time) []TargetOffer {
	if len(p.waiting) > 0 {
		return nil
	}
	var free []*state
	for _, s := range p.usable(&Ticket{}, now) {
		if p.near(s) && s.tells && s.fresh(now, freshness) && s.free(now) && s.factor(now) <= factor {
			free = append(free, s)
		}
	}
	slices.SortFunc(free, func(a, b *state) int { return cmp.Compare(a.factor(now), b.factor(now)) })
	var loans []TargetOffer
	for _, s := range free[:min(lendMost, len(free))] {
		loans = append(loans, TargetOffer{ID: s.ID, Load: s.load})
		s.load.Running++
	}
	return loans
}

// LocalProbes returns targets of the own zone to ask for their load on behalf of another zone.
func (p *Placer) LocalProbes(now time.Time) []Target {
	if len(p.waiting) > 0 {
		return nil
	}
	near, _ := p.askable(&Ticket{}, now)
	return p.probe(p.drawNear(near, now), now)
}

// SearchEnded takes in that the search for room in another zone has ended; what was
// found there was reported before.
func (p *Placer) SearchEnded(zone string) { delete(p.searches, zone) }

// seeking reports whether a search in another zone is awaited.
func (p *Placer) seeking(now time.Time) bool {
	for _, began := range p.searches {
		if now.Sub(began) < patience {
			return true
		}
	}
	return false
}

// seek divides targets of other zones into zones where an instance can be asked, of
// which it returns some, and targets that have to be asked themselves.
func (p *Placer) seek(abroad []*state, now time.Time) (zones []string, direct []*state) {
	scouted := map[string]bool{}
	for _, s := range abroad {
		can, known := scouted[s.Zone]
		if !known {
			can = p.CanSearch != nil && p.CanSearch(s.Zone, now)
			scouted[s.Zone] = can
			if can && now.Sub(p.searches[s.Zone]) >= patience {
				zones = append(zones, s.Zone)
			}
		}
		if !can {
			direct = append(direct, s)
		}
	}
	return draw(p.Random, zones, farZones), draw(p.Random, direct, farFan)
}
