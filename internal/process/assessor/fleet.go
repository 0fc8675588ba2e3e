package assessor

import (
	"net/netip"
	"sync"
	"time"
)

// Told is what an instance tells about itself.
type Told struct {
	Resources Resources
	// Ease is the part of its capacity with which the instance should be counted.
	Ease float64
}

// EaseTTL is how long an ease below 1 counts unless it is told again. An instance that is
// choked tells it every EaseInterval.
const (
	EaseTTL      = 15 * time.Second
	EaseInterval = 5 * time.Second
)

// Incarnation identifies one run of an instance.
type Incarnation struct {
	Peer   netip.AddrPort
	Number uint64
}

// Fleet holds what the instances have told. It is safe for concurrent use. The zero value
// is empty.
type Fleet struct {
	mutex sync.Mutex
	told  map[netip.AddrPort]told
}

type told struct {
	Told
	number uint64
	at     time.Time
}

// Record records what an incarnation has told. Only the latest one of an address counts.
func (f *Fleet) Record(i Incarnation, t Told, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.told == nil {
		f.told = map[netip.AddrPort]told{}
	}
	f.told[i.Peer] = told{Told: t, number: i.Number, at: now}
}

// Forget removes an incarnation that has ended.
func (f *Fleet) Forget(i Incarnation) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.told[i.Peer].number == i.Number {
		delete(f.told, i.Peer)
	}
}

// Weights returns the capacities of incarnations for requests of the given costs, 0 for
// those that have told nothing. It returns zeros if all that have told have the same
// resources: a fleet whose instances are alike shares its requests alike.
func (f *Fleet) Weights(all []Incarnation, c Costs, now time.Time) []float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	weights := make([]float64, len(all))
	var first *Resources
	uneven := false
	for k, i := range all {
		t, known := f.told[i.Peer]
		capacity := t.Resources.Capacity(c)
		if !known || t.number != i.Number || capacity == 0 {
			continue
		}
		if first == nil {
			first = &t.Resources
		}
		uneven = uneven || t.Resources != *first
		if t.Ease > 0 && t.Ease < 1 && now.Sub(t.at) < EaseTTL {
			capacity *= t.Ease
		}
		weights[k] = capacity
	}
	if !uneven {
		clear(weights)
	}
	return weights
}
