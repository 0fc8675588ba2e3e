package prober

import (
	"fmt"
	"net/netip"
	"sort"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"oriolecourse.example/oriolecourse/internal/standin/replayer"
)

// claimer claims probes for one process from its budget or from a faulty variant.
type claimer struct {
	// claim returns the function that completes the probe, or nil if none is granted.
	claim     func(now time.Time) func(now time.Time)
	configure func(Rate)
}

var someTarget = netip.MustParseAddrPort("10.1.0.1:80")

func correctBudget(rate Rate, now time.Time) claimer { return claimerOf(NewBudget(rate, now)) }

func claimerOf(b *Budget) claimer {
	return claimer{configure: b.Configure, claim: func(now time.Time) func(time.Time) {
		c := b.Claim(someTarget, now)
		if c == nil || !b.BeginSend(c, now) {
			return nil
		}
		return func(now time.Time) { b.Done(c, now) }
	}}
}

// tokenBucket is a token bucket that starts empty and holds at most the share.
func tokenBucket(rate Rate, now time.Time) claimer {
	tokens, last := 0.0, now
	return claimer{configure: func(r Rate) { rate = r }, claim: func(now time.Time) func(time.Time) {
		share := float64(rate.share())
		tokens = min(share, tokens+share*now.Sub(last).Seconds()/rate.Window.Seconds())
		last = now
		if tokens < 1 {
			return nil
		}
		tokens--
		return func(time.Time) {}
	}}
}

// noStartDelay lets a new process send without delay.
func noStartDelay(rate Rate, now time.Time) claimer {
	return correctBudget(rate, now.Add(-rate.retention()-rate.Timeout))
}

// completesAtTimeout counts a probe as completed at its timeout, whether or not the
// target has read it.
func completesAtTimeout(rate Rate, now time.Time) claimer {
	inner := correctBudget(rate, now)
	return claimer{configure: inner.configure, claim: func(now time.Time) func(time.Time) {
		done := inner.claim(now)
		if done == nil {
			return nil
		}
		done(now.Add(rate.Timeout))
		return func(time.Time) {}
	}}
}

// probe is a pending probe.
type probe struct {
	done func(time.Time)
	// latestArrival is the latest time at which the probe reaches its target after its
	// process has ended. It is zero while the process runs.
	latestArrival time.Time
}

// instance is one instance of the fleet. Its processes follow each other.
type instance struct {
	claimer     claimer
	probes      []*probe
	pausedUntil time.Time
	rate        Rate
}

// simulation is a fleet whose instances claim a probe whenever they can.
type simulation struct {
	build     func(Rate, time.Time) claimer
	now       time.Time
	instances []instance
	arrivals  []time.Time
	// stoppedUntil is when the stopped targets read again.
	stoppedUntil time.Time
}

func newSimulation(build func(Rate, time.Time) claimer, rate Rate) *simulation {
	s := &simulation{build: build, now: replayer.Epoch, instances: make([]instance, rate.Fleet)}
	for i := range s.instances {
		s.instances[i] = instance{claimer: build(rate, s.now), rate: rate}
	}
	return s
}

// step lets some time pass and runs one event at one instance.
func (s *simulation) step(n uint32, rates []Rate) {
	s.now = s.now.Add(time.Duration(n%700) * time.Millisecond)
	n /= 700
	inst := &s.instances[n%uint32(len(s.instances))]
	n /= uint32(len(s.instances))
	switch n % 16 {
	case 0:
		// The process ends and the next one starts.
		for _, p := range inst.probes {
			p.latestArrival = s.now.Add(inst.rate.Timeout)
		}
		inst.claimer = s.build(inst.rate, s.now)
	case 1:
		inst.pausedUntil = s.now.Add(time.Duration(n%40) * time.Second)
	case 2, 3:
		inst.rate = rates[n/16%uint32(len(rates))]
		inst.claimer.configure(inst.rate)
	case 4, 5, 6:
		if !s.now.Before(s.stoppedUntil) {
			s.arrive(inst, n/16)
		}
	case 7:
		s.stoppedUntil = s.now.Add(time.Duration(n%60) * time.Second)
	}
	s.expire()
	if !s.now.Before(s.stoppedUntil) && !s.stoppedUntil.IsZero() {
		s.flush()
	}
	for i := range s.instances {
		s.claim(&s.instances[i])
	}
}

func (s *simulation) claim(inst *instance) {
	if s.now.Before(inst.pausedUntil) {
		return
	}
	if done := inst.claimer.claim(s.now); done != nil {
		inst.probes = append(inst.probes, &probe{done: done})
	}
}

// arrive lets a target read and answer one pending probe. It completes the probe if the
// process that sent it still runs.
func (s *simulation) arrive(inst *instance, n uint32) {
	if len(inst.probes) == 0 {
		return
	}
	i := int(n) % len(inst.probes)
	p := inst.probes[i]
	inst.probes = append(inst.probes[:i], inst.probes[i+1:]...)
	s.arrivals = append(s.arrivals, s.now)
	if p.latestArrival.IsZero() {
		p.done(s.now)
	}
}

// flush lets the targets read all pending probes when they are no longer stopped.
func (s *simulation) flush() {
	s.stoppedUntil = time.Time{}
	for i := range s.instances {
		for len(s.instances[i].probes) > 0 {
			s.arrive(&s.instances[i], 0)
		}
	}
}

// expire drops the probes of ended processes that can no longer arrive.
func (s *simulation) expire() {
	for i := range s.instances {
		var rest []*probe
		for _, p := range s.instances[i].probes {
			if p.latestArrival.IsZero() || s.now.Before(p.latestArrival) {
				rest = append(rest, p)
			}
		}
		s.instances[i].probes = rest
	}
}

// limitViolation describes a window in which more probes than the limit arrived. It
// returns the empty string if there is none.
func (s *simulation) limitViolation(limit int, window time.Duration) string {
	sort.Slice(s.arrivals, func(i, j int) bool { return s.arrivals[i].Before(s.arrivals[j]) })
	for i := limit; i < len(s.arrivals); i++ {
		if gap := s.arrivals[i].Sub(s.arrivals[i-limit]); gap < window {
			return fmt.Sprintf("%d probes arrived within %s; at most %d are allowed within %s", limit+1, gap, limit, window)
		}
	}
	return ""
}

func check(build func(Rate, time.Time) claimer, changeRates bool) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 800
	parameters.MaxSize = 400
	return prop.ForAllNoShrink(func(steps []uint32, fleet, probes int) string {
		rate := Rate{Probes: probes, Fleet: fleet, Window: 10 * time.Second, Timeout: time.Second}
		rates := []Rate{rate}
		limit := probes
		if changeRates {
			for _, other := range []int{0, probes / 2, 2 * probes, 3 * probes} {
				changed := rate
				changed.Probes = other
				rates = append(rates, changed)
				limit = max(limit, other)
			}
		}
		s := newSimulation(build, rate)
		for _, n := range steps {
			s.step(n, rates)
		}
		return s.limitViolation(limit, rate.Window)
	}, gen.SliceOf(gen.UInt32()), gen.IntRange(1, 4), gen.IntRange(0, 12)).Check(parameters)
}

// TestBudgetHoldsOverTheFleet guards against more probes within a window than the
// settings allow the fleet. Restarts and pauses of processes and targets that stop
// reading shift probes into a later window.
func TestBudgetHoldsOverTheFleet(t *testing.T) {
	if result := check(correctBudget, false); !result.Passed() {
		t.Error(result.Labels, result.Args)
	}
}

// TestBudgetHoldsWhileSettingsChange guards against more probes within a window than
// the largest rate allows. The instances change their rates at different times.
func TestBudgetHoldsWhileSettingsChange(t *testing.T) {
	if result := check(correctBudget, true); !result.Passed() {
		t.Error(result.Labels, result.Args)
	}
}

// TestBrokenBudgetsAreRejected checks that the property fails for known faults.
func TestBrokenBudgetsAreRejected(t *testing.T) {
	for title, build := range map[string]func(Rate, time.Time) claimer{
		"token bucket":                     tokenBucket,
		"new process sends at once":        noStartDelay,
		"timed-out probes no longer count": completesAtTimeout,
	} {
		if result := check(build, false); result.Passed() {
			t.Errorf("%s: the property passed despite the fault", title)
		} else {
			t.Logf("%s: detected after %d runs: %v", title, result.Succeeded, result.Labels)
		}
	}
}
