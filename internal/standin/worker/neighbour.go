package worker

import (
	"math/rand"
	"sync"
	"time"
)

// Noise describes slow episodes, such as those that a noisy neighbour on the
// same host causes.
type Noise struct {
	// Slowdown is the factor by which work takes longer during an episode. Values up
	// to 1 mean no noise.
	Slowdown float64
	// MinLength and MaxLength bound the length of an episode.
	MinLength, MaxLength time.Duration
	// MeanGap is the mean time from the end of an episode to the start of the next
	// one.
	MeanGap time.Duration
}

// episode is one slow period.
type episode struct{ from, to time.Time }

// neighbour generates the slow episodes of one target. A seed always yields the
// same episodes.
type neighbour struct {
	noise     Noise
	timeScale float64

	mu     sync.Mutex
	random *rand.Rand
	// episodes are in the order of time. The last one ends at or after the end of all
	// work for which elapsed has been called.
	episodes []episode
	// generatedUntil is the end of the last generated episode.
	generatedUntil time.Time
}

// newNeighbour returns a generator of episodes that start after now.
func newNeighbour(n Noise, timeScale float64, seed int64, now time.Time) *neighbour {
	return &neighbour{noise: n, timeScale: timeScale, random: rand.New(rand.NewSource(seed + 1)), generatedUntil: now}
}

// elapsed returns the duration of work that starts at begin and takes d without
// noise.
func (n *neighbour) elapsed(d time.Duration, begin time.Time) time.Duration {
	if n.noise.Slowdown <= 1 || n.noise.MeanGap <= 0 {
		return d
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropEnded(begin)
	at, remaining := begin, d
	for i := 0; remaining > 0; i++ {
		n.ensureEpisode(i)
		e := n.episodes[i]
		if quiet := e.from.Sub(at); quiet > 0 {
			used := min(quiet, remaining)
			at, remaining = at.Add(used), remaining-used
		}
		if slow := e.to.Sub(at); slow > 0 && remaining > 0 {
			needed := time.Duration(float64(remaining) * n.noise.Slowdown)
			used := min(slow, needed)
			at, remaining = at.Add(used), remaining-time.Duration(float64(used)/n.noise.Slowdown)
		}
	}
	return at.Sub(begin)
}

// dropEnded removes episodes that ended more than a second before now. It keeps
// later ones, since concurrent requests may begin slightly earlier than now. If all
// generated episodes have ended, it generates more and keeps only the first one that
// ends at or after now.
func (n *neighbour) dropEnded(now time.Time) {
	for len(n.episodes) > 0 && n.episodes[0].to.Before(now.Add(-time.Second)) {
		n.episodes = n.episodes[1:]
	}
	for n.generatedUntil.Before(now) {
		n.episodes = append(n.episodes[:0:0], n.next())
	}
}

// ensureEpisode generates episodes up to index i.
func (n *neighbour) ensureEpisode(i int) {
	for len(n.episodes) <= i {
		n.episodes = append(n.episodes, n.next())
	}
}

// next generates the episode after generatedUntil. Gaps are distributed
// exponentially, lengths uniformly.
func (n *neighbour) next() episode {
	gap := time.Duration(n.random.ExpFloat64() * float64(n.noise.MeanGap) * n.timeScale)
	length := n.noise.MinLength + time.Duration(n.random.Float64()*float64(n.noise.MaxLength-n.noise.MinLength))
	e := episode{from: n.generatedUntil.Add(gap)}
	e.to = e.from.Add(time.Duration(float64(length) * n.timeScale))
	n.generatedUntil = e.to
	return e
}
