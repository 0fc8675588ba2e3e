package ranker

import (
	"fmt"
	"time"

	"oriolecourse.example/oriolecourse/internal/process/dispatcher"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// strategy is a method to route requests.
type strategy struct {
	name string
	// setup prepares the strategy for a world. It returns a function that starts a
	// request.
	setup func(*world) func(resolver.Priority)
}

// withoutLimits returns a strategy that sends each request immediately, without limits
// and queues. pick returns the index of the server for a request that an instance
// received; onEnd is called with the latency of the response.
func withoutLimits(name string, homes int, setup func(*world) (pick func(home int) int, onEnd func(home, server int, latency time.Duration))) strategy {
	return strategy{name: name, setup: func(w *world) func(resolver.Priority) {
		pick, onEnd := setup(w)
		return func(p resolver.Priority) {
			arrived, home := w.Now, w.random.Intn(homes)
			w.After(callerDelay, func() {
				index, sent := pick(home), w.Now
				w.servers[index].send(&attempt{onEnd: func(dispatcher.Report) {
					onEnd(home, index, w.Now-sent)
					w.latencies[p] = append(w.latencies[p], w.Now+callerDelay-arrived)
				}}, home)
			})
		}
	}}
}

// ignoreEnd is the onEnd function of strategies that keep no counts.
func ignoreEnd(int, int, time.Duration) {}

// byOwnCounts returns a strategy in which each home counts its own requests in flight per
// server and averages their latencies, in nanoseconds.
func byOwnCounts(name string, homes int, choose func(w *world, inflight []int, average []float64) int) strategy {
	return withoutLimits(name, homes, func(w *world) (func(int) int, func(int, int, time.Duration)) {
		inflight, average := make([][targetCount]int, homes), make([][targetCount]float64, homes)
		for i := range average {
			for j := range average[i] {
				average[i][j] = float64(meanWorkTime)
			}
		}
		return func(home int) int {
				index := choose(w, inflight[home][:], average[home][:])
				inflight[home][index]++
				return index
			}, func(home, index int, latency time.Duration) {
				inflight[home][index]--
				// A moving average, in which a new latency has the weight 0.2.
				average[home][index] += 0.2 * (float64(latency) - average[home][index])
			}
	})
}

// lowestScore returns the server with the lowest score. It starts at a random server, so
// that servers with equal scores are chosen equally often.
func lowestScore(w *world, score func(i int) float64) int {
	first := w.random.Intn(targetCount)
	best := first
	for k := range targetCount {
		if i := (first + k) % targetCount; score(i) < score(best) {
			best = i
		}
	}
	return best
}

func leastInFlightTimesAverage(w *world, inflight []int, average []float64) int {
	return lowestScore(w, func(i int) float64 { return float64(inflight[i]+1) * average[i] })
}

// twoChoices returns the one of two random servers with fewer requests in flight.
func twoChoices(w *world, inflight []int, _ []float64) int {
	a, b := w.random.Intn(targetCount), w.random.Intn(targetCount)
	if inflight[b] < inflight[a] {
		return b
	}
	return a
}

// chooseByTrueState chooses by the current load and slow phases of the servers. A real
// instance can't know them, so its figures are a lower bound for the latency.
func chooseByTrueState(w *world) (func(int) int, func(int, int, time.Duration)) {
	inFlight := [targetCount]int{}
	return func(int) int {
			index := lowestScore(w, func(i int) float64 {
				s := w.servers[i]
				slowdown := 1.0
				if s.slowNow() {
					slowdown = slowPhaseSlowdown
				}
				return slowdown * (1 + max(0, float64(inFlight[i]+1-slotsPerTarget))/slotsPerTarget)
			})
			inFlight[index]++
			return index
		}, func(_, index int, _ time.Duration) {
			inFlight[index]--
		}
}

// strategies returns the ranked strategies.
func strategies() []strategy {
	list := []strategy{
		withoutLimits("random, 16 instances", 16, func(w *world) (func(int) int, func(int, int, time.Duration)) {
			return func(int) int { return w.random.Intn(targetCount) }, ignoreEnd
		}),
		withoutLimits("round robin, 16 instances", 16, func(*world) (func(int) int, func(int, int, time.Duration)) {
			next := [16]int{}
			return func(home int) int { next[home]++; return (next[home] + home) % targetCount }, ignoreEnd
		}),
		byOwnCounts("two choices, in flight, 16 instances", 16, twoChoices),
	}
	for _, homes := range []int{16, 4, 2, 1} {
		list = append(list, byOwnCounts(fmt.Sprintf("least in flight x average, %d homes", homes), homes, leastInFlightTimesAverage))
	}
	for _, v := range []variant{
		{homes: 1},
		{homes: 2},
		{homes: 2, split: true, exchangeInterval: 5 * time.Millisecond},
		{homes: 3, split: true, exchangeInterval: 5 * time.Millisecond},
	} {
		list = append(list, mechanismVariants(v)...)
	}
	return append(list, withoutLimits("bound: true load and slowness", 1, chooseByTrueState))
}
