package budgeter

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// starts is a service whose targets begin to reject nine in ten requests after a calm time,
// while all instances start again at the given times after that.
type starts struct {
	instances int
	// rate is the number of requests per second of the whole fleet.
	rate      float64
	allowance float64
	times     []time.Duration
}

// calmTime is longer than the window of the budget, so that its requests have all been earned.
const calmTime = 12 * time.Second

// series returns n times at a distance, beginning with the first.
func series(first, distance time.Duration, n int) []time.Duration {
	var times []time.Duration
	for k := range n {
		times = append(times, first+time.Duration(k)*distance)
	}
	return times
}

// play returns the requests and the attempts beyond the first of the whole fleet.
func (s starts) play(seed int64) []event {
	random := rand.New(rand.NewSource(seed))
	began := time.Unix(0, 0)
	fleet := make([]*Retries, s.instances)
	startAll := func() {
		for i := range fleet {
			fleet[i] = &Retries{Ratio: ratio, Allowance: s.allowance, Window: window, Rounding: random.Float64()}
		}
	}
	startAll()
	var events []event
	next := 0
	for now := began; now.Sub(began) < calmTime+2*window; {
		now = now.Add(time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)))
		if next < len(s.times) && now.Sub(began) >= calmTime+s.times[next] {
			startAll()
			next++
		}
		r := fleet[random.Intn(s.instances)]
		r.RecordRequest(1, now)
		events = append(events, event{at: now})
		for range 2 {
			if now.Sub(began) > calmTime && random.Float64() < 0.9 && r.Take(1, now, s.instances) {
				events = append(events, event{at: now, attempt: true})
			}
		}
	}
	return events
}

// mostExcess returns by how much the attempts of a window exceed its budget at most. The
// requests are those of the window, the one before it or the one half a window before it,
// whichever has most.
func mostExcess(events []event, allowance float64) float64 {
	count := func(attempts bool, from, to time.Time) float64 {
		n := 0.0
		for _, e := range events {
			if e.attempt == attempts && !e.at.Before(from) && e.at.Before(to) {
				n++
			}
		}
		return n
	}
	most := math.Inf(-1)
	for from := events[0].at; from.Before(events[len(events)-1].at); from = from.Add(window / 20) {
		requests := 0.0
		for _, back := range []time.Duration{0, window / 2, window} {
			requests = max(requests, count(false, from.Add(-back), from.Add(window-back)))
		}
		most = max(most, count(true, from, from.Add(window))-ratio*requests-allowance)
	}
	return most
}

// Guards against starts that spend the budget twice: the retries that a calm window has earned
// are used up when the targets begin to fail, all instances are killed, and their successors
// earn new ones within the same window.
func TestStartsDoNotSpendTheRetriesOfACalmWindowTwice(t *testing.T) {
	for _, s := range []starts{
		{instances: 16, rate: 34, allowance: 60},
		{instances: 106, rate: 250, allowance: 172},
		{instances: 106, rate: 750, allowance: 172},
		{instances: 472, rate: 800, allowance: 630},
	} {
		for _, s.times = range [][]time.Duration{
			{1500 * time.Millisecond},
			{2 * time.Second, 4 * time.Second},
			{time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second, 9 * time.Second},
			series(2*time.Second, 750*time.Millisecond, 12),
		} {
			t.Run(fmt.Sprintf("%d instances, %g per second, %d starts", s.instances, s.rate, len(s.times)), func(t *testing.T) {
				for seed := range int64(3) {
					require.LessOrEqual(t, mostExcess(s.play(seed), s.allowance), 0.0, "seed %d", seed)
				}
			})
		}
	}
}

// Guards against starts without any retries for a whole window, in which a request that one
// target sheds is rejected at once.
func TestStartGetsItsAllowanceByAndBy(t *testing.T) {
	r := &Retries{Ratio: ratio, Allowance: allowance, Window: window}
	now := time.Unix(5, 0)
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{0, 0}, {window / 2, 0.5 * startAllowanceFactor * allowance}, {window, allowanceSafetyFactor * allowance}} {
		require.EqualValues(t, c.want, r.Remaining(1, now.Add(c.age), 1), c.age)
	}
}
