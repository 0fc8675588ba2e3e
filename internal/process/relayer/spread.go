package relayer

import (
	"cmp"
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
	// are ignored.
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
func (s *rumors) add(r Rumor, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, seen := s.seen[r.ID]; seen || r.Topic >= topicCount || r.TTL <= 0 || len(s.seen) >= maxSeenIDs {
		return false
	}
	ttl := min(r.TTL, topics[r.Topic].ttl)
	// Copies that other instances pass on expire a little later than this one.
	s.seen[r.ID] = now.Add(2 * ttl)
	if r.Topic == Load {
		s.active = slices.DeleteFunc(s.active, func(o activeRumor) bool {
			return o.rumor.Topic == Load && o.rumor.Instance == r.Instance && o.rumor.Place == r.Place && o.rumor.Service == r.Service
		})
	}
	s.active = append(s.active, activeRumor{rumor: r, expires: now.Add(ttl)})
	if len(s.active) > maxActiveRumors {
		s.active = slices.Delete(s.active, 0, 1)
	}
	return true
}

// forPacket returns the rumors for a packet to a member of a place. It prefers the
// rumors that were sent least often, and returns each a bounded number of times.
func (s *rumors) forPacket(place string, fleet int, now time.Time) []Rumor {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limit := rumorCopyFactor * bits.Len(uint(fleet+1))
	var due []*activeRumor
	for i := range s.active {
		o := &s.active[i]
		if o.sent < limit && o.isFor(place) && now.Before(o.expires) {
			due = append(due, o)
		}
	}
	slices.SortStableFunc(due, func(a, b *activeRumor) int { return cmp.Compare(a.sent, b.sent) })
	var taken []Rumor
	for _, o := range due[:min(maxPacketRumors, len(due))] {
		o.sent++
		taken = append(taken, o.at(now))
	}
	return taken
}

func (o *activeRumor) isFor(place string) bool {
	return o.rumor.Place == "" || o.rumor.Place == place
}

// at returns the rumor with its TTL at the given time.
func (o *activeRumor) at(now time.Time) Rumor {
	r := o.rumor
	r.TTL = o.expires.Sub(now)
	return r
}

// unexpired returns the rumors that have not expired.
func (s *rumors) unexpired(now time.Time) []Rumor {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var all []Rumor
	for i := range s.active {
		if now.Before(s.active[i].expires) {
			all = append(all, s.active[i].at(now))
		}
	}
	return all
}

// sweep removes expired rumors and ids.
func (s *rumors) sweep(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active = slices.DeleteFunc(s.active, func(o activeRumor) bool { return !now.Before(o.expires) })
	for id, t := range s.seen {
		if now.After(t) {
			delete(s.seen, id)
		}
	}
}

// Spread originates a rumor. This instance's own Options.OnRumor is not called.
func (r *Relayer) Spread(o Rumor, now time.Time) {
	o.ID = rand.Uint64()
	if o.TTL == 0 {
		o.TTL = topics[o.Topic].ttl
	}
	if r.rumors.add(o, now) {
		r.pushRumors([]Rumor{o}, true)
	}
}

// receiveRumors adds rumors of a peer, pushes the new urgent ones to other members
// and calls Options.OnRumor for each new one.
func (r *Relayer) receiveRumors(incoming []Rumor, now time.Time) {
	var fresh []Rumor
	for _, o := range incoming {
		if r.rumors.add(o, now) {
			fresh = append(fresh, o)
		}
	}
	r.pushRumors(fresh, false)
	for _, o := range fresh {
		if r.options.OnRumor != nil {
			r.options.OnRumor(o, now)
		}
	}
}

func (r *Relayer) pushRumors(fresh []Rumor, origin bool) {
	places := map[string][]Rumor{}
	for _, o := range fresh {
		if topics[o.Topic].urgent {
			places[o.Place] = append(places[o.Place], o)
		}
	}
	for place, urgent := range places {
		if place == "" {
			r.sendTo(rumorReceivers(r.Members(), r.options.Self.Place, origin), kindRumors, urgent)
		} else {
			r.pushToPlace(place, kindRumors, urgent)
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
