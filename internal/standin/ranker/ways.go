package ranker

import (
	"fmt"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/dispatcher"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// way is one way to route, set up for a world.
type way struct {
	name  string
	setup func(*world) func(resolver.Priority)
}

// direct returns a way without limits: pick names the server by the instance.
func direct(name string, homes int, setup func(*world) (pick func(home int) int, ended func(home, server int, latency time.Duration))) way {
	return way{name: name, setup: func(w *world) func(resolver.Priority) {
		pick, ended := setup(w)
		return func(p resolver.Priority) {
			arrived, home := w.Now, w.random.Intn(homes)
			w.After(callerDelay, func() {
				index, sent := pick(home), w.Now
				w.servers[index].send(&try{ended: func(dispatcher.Report) {
					ended(home, index, w.Now-sent)
					w.latencies[p] = append(w.latencies[p], w.Now+callerDelay-arrived)
				}}, home)
			})
		}
	}}
}

func nothing(int, int, time.Duration) {}

// counting returns a way that keeps its own requests in flight per home.
func counting(name string, homes int, choose func(w *world, inflight []int, average []float64) int) way {
	return direct(name, homes, func(w *world) (func(int) int, func(int, int, time.Duration)) {
		inflight, average := make([][worldTargets]int, homes), make([][worldTargets]float64, homes)
		for i := range average {
			for j := range average[i] {
				average[i][j] = float64(meanWork)
			}
		}
		return func(home int) int {
				index := choose(w, inflight[home][:], average[home][:])
				inflight[home][index]++
				return index
			}, func(home, index int, latency time.Duration) {
				inflight[home][index]--
				average[home][index] += 0.2 * (float64(latency) - average[home][index])
			}
	})
}

func lowest(w *world, score func(i int) float64) int {
	first := w.random.Intn(worldTargets)
	best := first
	for k := range worldTargets {
		if i := (first + k) % worldTargets; score(i) < score(best) {
			best = i
		}
	}
	return best
}

func leastTimesAverage(w *world, inflight []int, average []float64) int {
	return lowest(w, func(i int) float64 { return float64(inflight[i]+1) * average[i] })
}

func twoChoices(w *world, inflight []int, _ []float64) int {
	a, b := w.random.Intn(worldTargets), w.random.Intn(worldTargets)
	if inflight[b] < inflight[a] {
		return b
	}
	return a
}

// bound chooses by the true load and slowness of each server.
func bound(w *world) (func(int) int, func(int, int, time.Duration)) {
	coming := [worldTargets]int{}
	return func(int) int {
			index := lowest(w, func(i int) float64 {
				s := w.servers[i]
				pace := 1.0
				if s.slowNow() {
					pace = slowFactor
				}
				return pace * (1 + max(0, float64(coming[i]+1-worldSlots))/worldSlots)
			})
			coming[index]++
			return index
		}, func(_, index int, _ time.Duration) {
			coming[index]--
		}
}

// ways lists what is ranked.
func ways() []way {
	list := []way{
		direct("random, 16 instances", 16, func(w *world) (func(int) int, func(int, int, time.Duration)) {
			return func(int) int { return w.random.Intn(worldTargets) }, nothing
		}),
		direct("round robin, 16 instances", 16, func(*world) (func(int) int, func(int, int, time.Duration)) {
			turns := [16]int{}
			return func(home int) int { turns[home]++; return (turns[home] + home) % worldTargets }, nothing
		}),
		counting("two choices, in flight, 16 instances", 16, twoChoices),
	}
	for _, homes := range []int{16, 4, 2, 1} {
		list = append(list, counting(fmt.Sprintf("least in flight x average, %d homes", homes), homes, leastTimesAverage))
	}
	for _, v := range []variant{
		{homes: 1},
		{homes: 2},
		{homes: 2, split: true, gossip: 5 * time.Millisecond},
		{homes: 3, split: true, gossip: 5 * time.Millisecond},
	} {
		list = append(list, steps(v)...)
	}
	return append(list, direct("bound: true load and slowness", 1, bound))
}
