package comparer

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/sampler"
)

// Comparison aggregates the results of a benchmark.
type Comparison struct {
	// TimeScale is the factor by which the benchmark lengthened all times. Print divides
	// latencies by it and multiplies the rate of probes by it.
	TimeScale float64
	// Warmup is the time from the start of each load in which requests are not counted
	// by kind. The resource usage includes them.
	Warmup time.Duration

	groups []*group
}

// group aggregates the results of one scene and policy.
type group struct {
	// scene and policy are the labels of the results.
	scene, policy string
	results       int
	// duration is the sum of the durations of the loads.
	duration time.Duration
	usage    sampler.Usage
	requests int64
	kinds    []*kind
}

// kind aggregates the requests of one kind.
type kind struct {
	name string
	// count counts all requests, unsuccessful those without a successful response,
	// attempts the attempts of all requests.
	count, unsuccessful, attempts int
	latencies                     *hdrhistogram.Histogram
}

// Add adds a result to the group of its labels "scene" and "policy".
func (c *Comparison) Add(r *loader.Result) {
	g := c.group(r.Labels["scene"], r.Labels["policy"])
	g.results++
	g.duration += r.Duration
	g.usage = g.usage.Add(r.Usage)
	for _, request := range r.Requests {
		g.requests++
		if request.Begin.Sub(r.Begin) >= c.Warmup {
			g.kind(request.Service + "/" + request.Kind).add(request)
		}
	}
}

// group returns the group of a scene and policy, and creates it if needed.
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

// kind returns the aggregate of a kind, and creates it if needed.
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

// add adds a request to the counts of its kind.
func (k *kind) add(r loader.Request) {
	k.count++
	k.attempts += len(r.Attempts)
	if r.Succeeded() {
		r.RecordLatency(k.latencies)
		return
	}
	k.unsuccessful++
}
