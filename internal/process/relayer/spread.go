package relayer

import (
	"cmp"
	"hash/fnv"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

const (
	// maxPacketRumors bounds the number of rumors on one packet.
	maxPacketRumors = 8
	// rumorCopyFactor times the binary logarithm of the fleet size is the number of
	// packets on which an instance sends one rumor.
	rumorCopyFactor = 3
	// maxActiveRumors bounds the number of rumors that are passed on. The oldest are
	// dropped first.
	maxActiveRumors = 2048
	// maxSeenIDs bounds the number of remembered rumor ids. At the bound, further rumors
	// are ignored until ids are forgotten.
	maxSeenIDs = 1 << 16
)

// activeRumor is a rumor that is being passed on.
type activeRumor struct {
	rumor   Rumor
	expires time.Time
	sent    int
}

// rumors holds the rumors that are being passed on and the ids of all recent rumors.
type rumors struct {
	mutex sync.Mutex
	// seen maps each rumor id to the time when it may be forgotten.
	seen   map[uint64]time.Time
	active []activeRumor
}

func newRumors() *rumors { return &rumors{seen: map[uint64]time.Time{}} }

// add adds a rumor and reports whether it is new.
func (rs *rumors) add(r Rumor, now time.Time) bool {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	if _, seen := rs.seen[r.ID]; seen || r.Topic >= topicCount || r.TTL <= 0 || len(rs.seen) >= maxSeenIDs {
		return false
	}
	ttl := min(r.TTL, topics[r.Topic].ttl)
	// Copies of this rumor on other instances expire a little later, and may arrive
	// after it has expired here. So the id is remembered for twice the TTL.
	rs.seen[r.ID] = now.Add(2 * ttl)
	rs.active = slices.DeleteFunc(rs.active, func(a activeRumor) bool { return r.replaces(a.rumor) })
	rs.active = append(rs.active, activeRumor{rumor: r, expires: now.Add(ttl)})
	if len(rs.active) > maxActiveRumors {
		rs.active = slices.Delete(rs.active, 0, 1)
	}
	return true
}

// replaces reports whether a rumor makes an earlier one needless.
func (r *Rumor) replaces(o Rumor) bool {
	if r.Topic != o.Topic || r.Place != o.Place || r.Service != o.Service {
		return false
	}
	return r.Topic == Load && r.Instance == o.Instance || r.Topic == Limit && r.Start == o.Start
}

// forPacket returns the rumors for a packet to a member of a place and counts them as
// sent. It prefers the rumors that were sent least often, and returns each a bounded
// number of times. fleet is the number of other members.
func (rs *rumors) forPacket(place string, fleet int, now time.Time) []Rumor {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	limit := rumorCopyFactor * bits.Len(uint(fleet+1))
	var due []*activeRumor
	for i := range rs.active {
		a := &rs.active[i]
		if a.sent < limit && a.isFor(place) && now.Before(a.expires) {
			due = append(due, a)
		}
	}
	slices.SortStableFunc(due, func(a, b *activeRumor) int { return cmp.Compare(a.sent, b.sent) })
	var taken []Rumor
	for _, a := range due[:min(maxPacketRumors, len(due))] {
		a.sent++
		taken = append(taken, a.at(now))
	}
	return taken
}

func (a *activeRumor) isFor(place string) bool {
	return a.rumor.Place == "" || a.rumor.Place == place
}

// at returns the rumor with its TTL at the given time.
func (a *activeRumor) at(now time.Time) Rumor {
	r := a.rumor
	r.TTL = a.expires.Sub(now)
	return r
}

// unexpired returns the rumors that have not expired.
func (rs *rumors) unexpired(now time.Time) []Rumor {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	var all []Rumor
	for i := range rs.active {
		if now.Before(rs.active[i].expires) {
			all = append(all, rs.active[i].at(now))
		}
	}
	return all
}

// sweep removes expired rumors and ids.
func (rs *rumors) sweep(now time.Time) {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	rs.active = slices.DeleteFunc(rs.active, func(a activeRumor) bool { return !now.Before(a.expires) })
	for id, t := range rs.seen {
		if now.After(t) {
			delete(rs.seen, id)
		}
	}
}

// Spread originates a rumor. This instance's own Options.OnRumor is not called.
func (r *Relayer) Spread(rumor Rumor, now time.Time) {
	rumor.ID = rand.Uint64()
	if rumor.Topic == Draining {
		rumor.ID = drainingID(rumor)
	}
	if rumor.TTL == 0 {
		rumor.TTL = topics[rumor.Topic].ttl
	}
	if r.rumors.add(rumor, now) {
		r.pushRumors([]Rumor{rumor}, true)
	}
}

// drainingID returns the ID of a rumor that a run is draining. It is the same at all
// instances, many of which notice it at the same time: the fleet passes one rumor on and
// not one of each of them.
func drainingID(r Rumor) uint64 {
	h := fnv.New64a()
	h.Write([]byte(r.Place + "\x00" + r.Service + "\x00" + r.Target.String() + "\x00" + r.Start))
	return h.Sum64()
}

// receiveRumors adds rumors of a peer, passes the new urgent ones on to other members
// and calls Options.OnRumor for each new one.
func (r *Relayer) receiveRumors(incoming []Rumor, now time.Time) {
	var fresh []Rumor
	for _, rumor := range incoming {
		if rumor.Topic >= topicCount {
			r.metrics.countUnknown(unknownTopic)
			continue
		}
		if r.rumors.add(rumor, now) {
			fresh = append(fresh, rumor)
		}
	}
	r.pushRumors(fresh, false)
	for _, rumor := range fresh {
		if r.options.OnRumor != nil {
			r.options.OnRumor(rumor, now)
		}
	}
}

// gatherInterval is the time between two pushes of gathered rumors. A request that has
// crashed a target comes back after a second or more; within that time the rumor of its
// loss takes the four or five hops to all instances.
const gatherInterval = 200 * time.Millisecond

// gatheredRumors holds the rumors that wait for the next push.
type gatheredRumors struct {
	mutex sync.Mutex
	// own holds the rumors that originate here, passedOn those of other instances.
	own, passedOn []Rumor
	// scheduled means that a push is due within gatherInterval.
	scheduled bool
}

// pushRumors pushes the urgent rumors to other members, the gathered ones after
// gatherInterval at most.
func (r *Relayer) pushRumors(fresh []Rumor, origin bool) {
	var now, later []Rumor
	for _, rumor := range fresh {
		switch {
		case !topics[rumor.Topic].urgent:
		case topics[rumor.Topic].gathered:
			later = append(later, rumor)
		default:
			now = append(now, rumor)
		}
	}
	r.sendRumors(now, origin)
	if len(later) > 0 {
		r.gatherRumors(later, origin)
	}
}

// gatherRumors keeps rumors for the next push and schedules it.
func (r *Relayer) gatherRumors(fresh []Rumor, origin bool) {
	g := &r.gathered
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if origin {
		g.own = append(g.own, fresh...)
	} else {
		g.passedOn = append(g.passedOn, fresh...)
	}
	if !g.scheduled {
		g.scheduled = r.spawn(func() {
			r.sleep(gatherInterval)
			r.pushGathered()
		})
	}
}

func (r *Relayer) pushGathered() {
	g := &r.gathered
	g.mutex.Lock()
	own, passedOn := g.own, g.passedOn
	g.own, g.passedOn, g.scheduled = nil, nil, false
	g.mutex.Unlock()
	r.sendRumors(own, true)
	r.sendRumors(passedOn, false)
}

// sendRumors sends rumors to some members of their places, or of the whole fleet.
func (r *Relayer) sendRumors(all []Rumor, origin bool) {
	places := map[string][]Rumor{}
	for _, rumor := range all {
		places[rumor.Place] = append(places[rumor.Place], rumor)
	}
	for place, group := range places {
		if place == "" {
			r.sendTo(rumorReceivers(r.Members(), r.options.Self.Place, origin), kindRumors, group)
		} else {
			r.pushToPlace(place, kindRumors, group)
		}
	}
}

func (r *Relayer) handleRumors(_ *link, m framer.Message, now time.Time) error {
	var incoming []Rumor
	if err := m.Decode(&incoming); err != nil {
		return err
	}
	r.receiveRumors(incoming, now)
	return nil
}
