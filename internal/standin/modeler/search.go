package modeler

import (
	"fmt"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// searchTimeout bounds the search for free slots on behalf of another zone. It is equal
// to findTimeout of the package relayer, so that the simulation searches as long as the
// balancer does.
const searchTimeout = 20 * time.Millisecond

// enableSearch lets an instance search for free slots in other zones. It asks one
// instance of the other zone for target offers.
func (n *instance) enableSearch(instances []*instance) {
	byZone := map[string][]*instance{}
	for _, other := range instances {
		byZone[zoneName(other.zone)] = append(byZone[zoneName(other.zone)], other)
	}
	index := n.world.random.Intn(len(instances))
	n.placer.CanSearch = func(zone string, _ time.Time) bool { return len(byZone[zone]) > 0 }
	n.search = func(zone string) {
		peer, sent := byZone[zone][index%len(byZone[zone])], n.time()
		n.world.After(n.world.workload.RemoteDelay, func() {
			peer.offerTargets(func(offers []placer.TargetOffer) {
				n.world.After(n.world.workload.RemoteDelay, func() {
					for _, offer := range offers {
						n.placer.Report(offer.ID, offer.Load, sent, n.time())
					}
					n.placer.SearchEnded(zone)
					n.step()
				})
			})
		})
	}
}

// offerTargets finds targets with free slots for an instance of another zone and calls
// respond once with them. If no known target has at most placer.ImmediateSlowdown, it
// probes targets of its zone and responds as soon as one of them qualifies. After the
// last probe, or after searchTimeout, it responds with targets of any slowdown, or with
// none.
func (n *instance) offerTargets(respond func([]placer.TargetOffer)) {
	if offers := n.placer.OfferTargets(placer.ImmediateSlowdown, n.time()); len(offers) > 0 {
		respond(offers)
		return
	}
	probed, responded := n.placer.LocalProbes(n.time()), false
	tryRespond := func(slowdown float64) bool {
		if responded {
			return true
		}
		offers := n.placer.OfferTargets(slowdown, n.time())
		if responded = len(offers) > 0 || slowdown == placer.AnySlowdown; responded {
			respond(offers)
		}
		return responded
	}
	if len(probed) == 0 {
		tryRespond(placer.AnySlowdown)
		return
	}
	outstanding := len(probed)
	for _, t := range probed {
		n.probe(t, func() {
			if outstanding--; !tryRespond(placer.ImmediateSlowdown) && outstanding == 0 {
				tryRespond(placer.AnySlowdown)
			}
		})
	}
	n.world.After(searchTimeout, func() { tryRespond(placer.AnySlowdown) })
}

func zoneName(zone int) string { return fmt.Sprint("zone ", zone) }
