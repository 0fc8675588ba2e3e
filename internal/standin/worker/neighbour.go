package worker

import (
	"math/rand"
	"sync"
	"time"
)

// Noise describes the slow episodes that a noisy neighbour causes.
type Noise struct {
	// Slowdown is how many times longer work takes during an episode; 0 or 1 is
	// no noise.
	Slowdown float64
	// MinLength and MaxLength bound the length of an episode.
	MinLength, MaxLength time.Duration
	// MeanGap is the mean time between the ends and starts of episodes.
	MeanGap time.Duration
}

// episode is one slow period.
type episode struct{ from, to time.Time }

// neighbour generates the episodes of one target, the same ones for a seed.
type neighbour struct {
	noise   Noise
	stretch float64

	mu     sync.Mutex
	random *rand.Rand
	// episodes are in the order of time; the last one ends after every time
	// asked for so far.
	episodes []episode
	// horizon is the end of the last generated episode.
	horizon time.Time
}

// newNeighbour returns the episodes from a time on.
func newNeighbour(n Noise, stretch float64, seed int64, now time.Time) *neighbour {
	return &neighbour{noise: n, stretch: stretch, random: rand.New(rand.NewSource(seed + 1)), horizon: now}
}

// elapsed returns how long work takes that begins at a time and would take d
// without noise.
func (n *neighbour) elapsed(d time.Duration, begin time.Time) time.Duration {
	if n.noise.Slowdown <= 1 || n.noise.MeanGap <= 0 {
		return d
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forget(begin)
	at, left := begin, d
	for i := 0; left > 0; i++ {
		n.generate(i)
		e := n.episodes[i]
		if quiet := e.from.Sub(at); quiet > 0 {
			used := min(quiet, left)
			at, left = at.Add(used), left-used
		}
		if slow := e.to.Sub(at); slow > 0 && left > 0 {
			needed := time.Duration(float64(left) * n.noise.Slowdown)
			used := min(slow, needed)
			at, left = at.Add(used), left-time.Duration(float64(used)/n.noise.Slowdown)
		}
	}
	return at.Sub(begin)
}

// forget drops episodes that ended before a time.
func (n *neighbour) forget(now time.Time) {
	for len(n.episodes) > 0 && n.episodes[0].to.Before(now.Add(-time.Second)) {
		n.episodes = n.episodes[1:]
	}
	for n.horizon.Before(now) {
		n.episodes = append(n.episodes[:0:0], n.next())
	}
}

// generate makes the episode of an index exist.
func (n *neighbour) generate(i int) {
	for len(n.episodes) <= i {
		n.episodes = append(n.episodes, n.next())
	}
}

// next draws the episode after the horizon.
func (n *neighbour) next() episode {
	gap := time.Duration(n.random.ExpFloat64() * float64(n.noise.MeanGap) * n.stretch)
	length := n.noise.MinLength + time.Duration(n.random.Float64()*float64(n.noise.MaxLength-n.noise.MinLength))
	e := episode{from: n.horizon.Add(gap)}
	e.to = e.from.Add(time.Duration(float64(length) * n.stretch))
	n.horizon = e.to
	return e
}
