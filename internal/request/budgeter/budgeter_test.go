package budgeter

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"
)

const (
	ratio     = 0.2
	allowance = 60.0
	window    = 10 * time.Second
)

// event is a request or an additional attempt of the fleet.
type event struct {
	at      time.Time
	attempt bool
}

// simulateFleet runs a fleet whose instances take every attempt that they are
// granted. At times an instance is partitioned, so that it takes the fleet to be
// smaller, or restarts with a new budget.
func simulateFleet(seed int64, members int, take func(r *Retries, now time.Time, fleet int) bool) []event {
	random := rand.New(rand.NewSource(seed))
	start := time.Unix(0, 0)
	fleet := make([]*Retries, members)
	for i := range fleet {
		fleet[i] = &Retries{Ratio: ratio, Allowance: allowance, Window: window, Rounding: random.Float64()}
	}
	var events []event
	now := start
	for now.Sub(start) < time.Minute {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(5*time.Millisecond)))
		i := random.Intn(members)
		if random.Intn(4000) == 0 {
			fleet[i] = &Retries{Ratio: ratio, Allowance: allowance, Window: window, Rounding: random.Float64()}
		}
		fleet[i].RecordRequest(1, now)
		events = append(events, event{at: now})
		for random.Intn(3) > 0 && take(fleet[i], now, members-random.Intn(1+members/4)) {
			events = append(events, event{at: now, attempt: true})
		}
	}
	return events
}

// withinBudget reports whether the fleet stays within its budget in each sliding
// window.
func withinBudget(events []event) bool {
	requests, attempts, first := 0, 0, 0
	for _, e := range events {
		if e.attempt {
			attempts++
		} else {
			requests++
		}
		for e.at.Sub(events[first].at) > window {
			if events[first].attempt {
				attempts--
			} else {
				requests--
			}
			first++
		}
		if float64(attempts) > ratio*float64(requests)+allowance {
			return false
		}
	}
	return true
}

// Guards against a fleet that exceeds its retry budget in some window when
// instances restart or see only part of the fleet.
func TestRetriesKeepTheFleetsBudgetInEachWindow(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("budget", prop.ForAll(func(seed int64, members int) bool {
		return withinBudget(simulateFleet(seed, members, func(r *Retries, now time.Time, fleet int) bool { return r.Take(1, now, fleet) }))
	}, gen.Int64(), gen.IntRange(1, 40)))
	properties.TestingRun(t)
}

// Guards against a check that accepts any budget: instances that each use the
// whole budget must exceed it.
func TestRetriesCheckRejectsUnsharedBudget(t *testing.T) {
	unshared := func(r *Retries, now time.Time, _ int) bool { return r.Take(1, now, 1) }
	require.False(t, withinBudget(simulateFleet(1, 16, unshared)))
}

// Guards against an instance that gets no retries while it has few requests, and
// against one that gets its full share in the first window after a start.
func TestRetriesGrantAFewWithoutRequests(t *testing.T) {
	r := &Retries{Ratio: ratio, Allowance: allowance, Window: window}
	now := time.Unix(5, 0)
	require.Zero(t, r.Remaining(1, now, 4), "the previous process may have used the share")
	now = now.Add(window)
	granted := 0
	for range 100 {
		if r.Take(1, now, 4) {
			granted++
		}
	}
	require.Equal(t, int(math.Floor(allowanceSafetyFactor*allowance/4)), granted)
	require.False(t, r.Take(1, now.Add(window), 4))
	require.True(t, r.Take(1, now.Add(window+time.Second), 4))
}

// Guards against an instance that sends more probes than its share of the fleet's
// rate plus the probes that a start grants.
func TestProbesKeepTheShare(t *testing.T) {
	const rate, fleet = 600.0, 4
	p := &Probes{}
	random := rand.New(rand.NewSource(1))
	start := time.Unix(0, 0)
	sent := 0
	for now := start; now.Sub(start) < 2*time.Minute; now = now.Add(time.Duration(random.Intn(40)) * time.Millisecond) {
		sent += p.Take(random.Intn(12), rate, fleet, now)
		limit := probeSafetyFactor * rate / fleet * (now.Sub(start) + probeStartPeriod).Seconds()
		require.LessOrEqual(t, float64(sent), limit+1e-6)
	}
	require.Positive(t, sent)
}

// Guards against restarts that raise the retry budget: an instance that is killed
// every two seconds must not get its full share of the allowance at each start.
func TestRestartsStayWithinAllowance(t *testing.T) {
	now := time.Unix(5, 0)
	var events []event
	simulate := func(r *Retries, length time.Duration) {
		for end := now.Add(length); now.Before(end); now = now.Add(10 * time.Millisecond) {
			r.RecordRequest(1, now)
			events = append(events, event{at: now})
			for r.Take(1, now, 1) {
				events = append(events, event{at: now, attempt: true})
			}
		}
	}
	start := func() *Retries { return &Retries{Ratio: ratio, Allowance: allowance, Window: window} }
	simulate(start(), 2*window)
	for range 20 {
		simulate(start(), window/5)
	}
	require.True(t, withinBudget(events))
}

// Replays targets that reject 55% of all requests. The budget lasts for a third of the
// retries that they cause. Guards against less urgent requests that use it up: the more
// urgent ones, an eighth of all, must get all the retries that they ask for.
func TestUrgentRequestsGetTheirRetries(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	r := &Retries{Ratio: ratio, Allowance: allowance, Window: window}
	now := time.Unix(5, 0)
	asked, granted := map[int]int{}, map[int]int{}
	for range 30000 {
		now = now.Add(time.Millisecond)
		priority := 2
		if random.Float64() < 0.12 {
			priority = 1
		}
		r.RecordRequest(priority, now)
		if random.Float64() >= 0.55 {
			continue
		}
		taken := r.Take(priority, now, 1)
		if now.Sub(r.start) < window {
			continue
		}
		asked[priority]++
		if taken {
			granted[priority]++
		}
	}
	require.Equal(t, asked[1], granted[1])
	require.Greater(t, granted[2], asked[2]/10)
}

// Guards against an instance that keeps retries for urgent requests that do not come.
func TestRetriesAreNotKeptForNobody(t *testing.T) {
	r := &Retries{Ratio: ratio, Allowance: allowance, Window: window}
	now := time.Unix(5, 0)
	r.RecordRequest(1, now)
	now = now.Add(2 * window)
	granted := 0
	for r.Take(2, now, 1) {
		granted++
	}
	require.Equal(t, int(allowanceSafetyFactor*allowance), granted)
}

// Replays a fleet of 472 instances, each of which has a share of less than one attempt.
// Guards against rounding that loses most of the fleet's budget, and that exceeds it.
func TestSharesBelowOneAddUp(t *testing.T) {
	const fleet = 472
	random := rand.New(rand.NewSource(1))
	granted := 0
	for range fleet {
		r := &Retries{Ratio: ratio, Allowance: 630, Window: window, Rounding: random.Float64()}
		r.Take(1, time.Unix(5, 0), fleet)
		for now := time.Unix(5, 0).Add(3 * window); r.Take(1, now, fleet); {
			granted++
		}
	}
	require.InEpsilon(t, allowanceSafetyFactor*630, granted, 0.1)
}

// Guards against a start that counts itself alone at first and keeps the probes that it took
// for its share then.
func TestProbesOfAStartFollowTheKnownFleet(t *testing.T) {
	const rate, fleet = 600.0, 100
	p := &Probes{}
	now := time.Unix(5, 0)
	require.Equal(t, 1, p.Take(1, rate, 1, now))
	now = now.Add(time.Second)
	require.LessOrEqual(t, p.Take(1000, rate, fleet, now), int(probeSafetyFactor*rate/fleet*(probeStartPeriod+time.Second).Seconds()))
}

// Replays 8 s in which all targets of a service shed 55 of 100 requests, whose clients return
// once, at four times the requests that one instance of a fleet of a hundred gets. Guards
// against a budget that is spent on clients that would return anyway.
func TestClientsThatReturnGetTheRetriesWhileAllTargetsShed(t *testing.T) {
	const shed, perSecond, seeds = 0.55, 25, 40
	refused := func(seed int64, take func(r *Retries, returned bool, now time.Time) bool) float64 {
		random := rand.New(rand.NewSource(seed))
		start := time.Unix(1000, 0)
		r := &Retries{Ratio: 0.2, Allowance: 162, Window: 10 * time.Second, Rounding: random.Float64(), Started: start.Add(-time.Hour)}
		fails := func() bool { return random.Float64() < shed }
		asked, lost := 0, 0
		for k := range 18 * perSecond {
			now := start.Add(time.Duration(k) * time.Second / perSecond)
			r.RecordRequest(1, now)
			if k < 10*perSecond {
				continue
			}
			asked++
			if !fails() || take(r, false, now) && !fails() {
				continue
			}
			now = now.Add(25 * time.Millisecond)
			r.RecordRequest(1, now)
			r.RecordReturn(now)
			if fails() && (!take(r, true, now) || fails()) {
				lost++
			}
		}
		return float64(lost) / float64(asked)
	}
	before, after := 0.0, 0.0
	for seed := range int64(seeds) {
		before += refused(seed, func(r *Retries, _ bool, now time.Time) bool { return r.Take(1, now, 98) }) / seeds
		after += refused(seed, func(r *Retries, returned bool, now time.Time) bool { return r.TakeAfterShed(1, returned, now, 98) }) / seeds
	}
	require.Less(t, after, 0.9*before)
}
