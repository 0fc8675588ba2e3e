package comparer

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/sampler"
)

// Comparison sums up the results of a bench.
type Comparison struct {
	// TimeScale divides all printed times.
	TimeScale float64
	// Warmup is the time at the start of a load whose requests don't count.
	Warmup time.Duration

	groups []*group
}

// group holds all results of one scene and policy.
type group struct {
	// scene is the user and the load, policy the way that is compared.
	scene, policy string
	results       int
	// duration is the sum of the durations of the results.
	duration time.Duration
	usage    sampler.Usage
	requests int64
	kinds    []*kind
}

// kind holds the requests of one kind.
type kind struct {
	name string
	// bad counts requests without a successful answer.
	count, bad, attempts int
	latencies            *hdrhistogram.Histogram
}

// Add puts a result into its group by the labels scene and policy.
func (c *Comparison) Add(r *loader.Result) {
	g := c.group(r.Labels["scene"], r.Labels["policy"])
	g.results++
	g.duration += r.Duration
	g.usage = g.usage.Plus(r.Usage)
	for _, request := range r.Requests {
		g.requests++
		if request.Begin.Sub(r.Begin) >= c.Warmup {
			g.kind(request.Service + "/" + request.Kind).add(request)
		}
	}
}

// group finds or makes a group.
func (c *Comparison) group(scene, policy string) *group {
	for _, g := range c.groups {
		if g.scene == scene && g.policy == policy {
			return g
		}
	}
	g := &group{scene: scene, policy: policy}
	c.groups = append(c.groups, g)
	return g
}

// kind finds or makes the row of a kind.
func (g *group) kind(name string) *kind {
	for _, k := range g.kinds {
		if k.name == name {
			return k
		}
	}
	k := &kind{name: name, latencies: loader.NewHistogram()}
	g.kinds = append(g.kinds, k)
	slices.SortFunc(g.kinds, func(a, b *kind) int { return cmp.Compare(a.name, b.name) })
	return k
}

// add counts one request.
func (k *kind) add(r loader.Request) {
	k.count++
	k.attempts += len(r.Attempts)
	if r.Succeeded() {
		r.RecordLatency(k.latencies)
		return
	}
	k.bad++
}
