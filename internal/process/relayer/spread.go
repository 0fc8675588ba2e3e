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
	// maxRumors bounds the rumors on one packet.
	maxRumors = 8
	// rumorCopies times the logarithm of the fleet's size is how often one rumor is sent.
	rumorCopies = 3
	// maxLive bounds the rumors that are remembered for passing on; the oldest go first.
	maxLive = 2048
	// maxSeen bounds the identifiers that are remembered.
	maxSeen = 1 << 16
)

// spreading is a rumor that is passed on.
type spreading struct {
	rumor   Rumor
	expires time.Time
	sent    int
}

// rumors holds the rumors that are being spread and those that were seen.
type rumors struct {
	mutex sync.Mutex
	// seen holds when each identifier may be forgotten.
	seen   map[uint64]time.Time
	spread []spreading
}

func newRumors() *rumors { return &rumors{seen: map[uint64]time.Time{}} }

// add takes a rumor and reports whether it is new.
func (s *rumors) add(r Rumor, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, seen := s.seen[r.ID]; seen || r.Topic >= topicCount || r.TTL <= 0 || len(s.seen) >= maxSeen {
		return false
	}
	life := min(r.TTL, topics[r.Topic].life)
	// Copies still under way on other instances expire a little later.
	s.seen[r.ID] = now.Add(2 * life)
	if r.Topic == Load {
		s.spread = slices.DeleteFunc(s.spread, func(o spreading) bool {
			return o.rumor.Topic == Load && o.rumor.Instance == r.Instance && o.rumor.Place == r.Place && o.rumor.Service == r.Service
		})
	}
	s.spread = append(s.spread, spreading{rumor: r, expires: now.Add(life)})
	if len(s.spread) > maxLive {
		s.spread = slices.Delete(s.spread, 0, 1)
	}
	return true
}

// take returns the rumors to put on a packet to a member of a place: the least
// sent first, each a bounded number of times.
func (s *rumors) take(place string, fleet int, now time.Time) []Rumor {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limit := rumorCopies * bits.Len(uint(fleet+1))
	var due []*spreading
	for i := range s.spread {
		o := &s.spread[i]
		if o.sent < limit && o.concerns(place) && now.Before(o.expires) {
			due = append(due, o)
		}
	}
	slices.SortStableFunc(due, func(a, b *spreading) int { return cmp.Compare(a.sent, b.sent) })
	var taken []Rumor
	for _, o := range due[:min(maxRumors, len(due))] {
		o.sent++
		taken = append(taken, o.at(now))
	}
	return taken
}

func (o *spreading) concerns(place string) bool {
	return o.rumor.Place == "" || o.rumor.Place == place
}

// at returns the rumor with the time that is left.
func (o *spreading) at(now time.Time) Rumor {
	r := o.rumor
	r.TTL = o.expires.Sub(now)
	return r
}

// live returns the rumors that have not expired.
func (s *rumors) live(now time.Time) []Rumor {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var all []Rumor
	for i := range s.spread {
		if now.Before(s.spread[i].expires) {
			all = append(all, s.spread[i].at(now))
		}
	}
	return all
}

// sweep drops what has expired.
func (s *rumors) sweep(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.spread = slices.DeleteFunc(s.spread, func(o spreading) bool { return !now.Before(o.expires) })
	for id, t := range s.seen {
		if now.After(t) {
			delete(s.seen, id)
		}
	}
}

// Spread starts a rumor. It is not given to this instance's own Options.Rumor.
func (r *Relayer) Spread(o Rumor, now time.Time) {
	o.ID = rand.Uint64()
	if o.TTL == 0 {
		o.TTL = topics[o.Topic].life
	}
	if r.rumors.add(o, now) {
		r.pushRumors([]Rumor{o}, true)
	}
}

// hear takes rumors, hands on those that are new, and pushes the urgent ones.
func (r *Relayer) hear(told []Rumor, now time.Time) {
	var fresh []Rumor
	for _, o := range told {
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

func (r *Relayer) pushRumors(fresh []Rumor, started bool) {
	places := map[string][]Rumor{}
	for _, o := range fresh {
		if topics[o.Topic].urgent {
			places[o.Place] = append(places[o.Place], o)
		}
	}
	for place, urgent := range places {
		if place == "" {
			r.send(audience(r.Members(), r.options.Self.Place, started), kindRumors, urgent)
		} else {
			r.push(place, kindRumors, urgent)
		}
	}
}

func (r *Relayer) handleRumors(_ *link, m framer.Message, now time.Time) error {
	var told []Rumor
	if err := m.Decode(&told); err != nil {
		return err
	}
	r.hear(told, now)
	return nil
}
