package modeler

import (
	"fmt"
	"time"

	"oriolecourse.example/oriolecourse/internal/request/placer"
)

// searchWait bounds the search for room on behalf of another zone, as in the product.
const searchWait = 20 * time.Millisecond

// scouted lets an entry look for room in other zones through an entry there.
func (e *entry) scouted(entries []*entry) {
	byZone := map[string][]*entry{}
	for _, o := range entries {
		byZone[zoneName(o.zone)] = append(byZone[zoneName(o.zone)], o)
	}
	chosen := e.world.random.Intn(len(entries))
	e.placer.CanSearch = func(zone string, _ time.Time) bool { return len(byZone[zone]) > 0 }
	e.seek = func(zone string) {
		there, asked := byZone[zone][chosen%len(byZone[zone])], e.time()
		e.world.After(e.world.load.Far, func() {
			there.lend(func(loans []placer.TargetOffer) {
				e.world.After(e.world.load.Far, func() {
					for _, l := range loans {
						e.placer.Report(l.ID, l.Load, asked, e.time())
					}
					e.placer.SearchEnded(zone)
					e.step()
				})
			})
		})
	}
}

// lend finds targets with room for an entry of another zone.
func (e *entry) lend(answer func([]placer.TargetOffer)) {
	if loans := e.placer.OfferTargets(placer.ImmediateSlowdown, e.time()); len(loans) > 0 {
		answer(loans)
		return
	}
	asked, answered := e.placer.LocalProbes(e.time()), false
	end := func(factor float64) bool {
		if answered {
			return true
		}
		loans := e.placer.OfferTargets(factor, e.time())
		if answered = len(loans) > 0 || factor == placer.AnySlowdown; answered {
			answer(loans)
		}
		return answered
	}
	if len(asked) == 0 {
		end(placer.AnySlowdown)
		return
	}
	left := len(asked)
	for _, t := range asked {
		e.ask(t, func() {
			if left--; !end(placer.ImmediateSlowdown) && left == 0 {
				end(placer.AnySlowdown)
			}
		})
	}
	e.world.After(searchWait, func() { end(placer.AnySlowdown) })
}

func zoneName(zone int) string { return fmt.Sprint("zone ", zone) }
