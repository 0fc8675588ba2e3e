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

	"oriolecourse.example/oriolecourse/internal/standin/narrator"
)

// granter is the budget of one process, or a broken one.
type granter struct {
	// claim returns the function that completes the probe, or nil.
	claim     func(now time.Time) func(now time.Time)
	configure func(Rate)
}

var someTarget = netip.MustParseAddrPort("10.1.0.1:80")

func ours(rate Rate, now time.Time) granter { return grants(NewBudget(rate, now)) }

func grants(b *Budget) granter {
	return granter{configure: b.Configure, claim: func(now time.Time) func(time.Time) {
		c := b.Claim(someTarget, now)
		if c == nil || !b.Sent(c, now) {
			return nil
		}
		return func(now time.Time) { b.Done(c, now) }
	}}
}

// bucket is a token bucket that starts empty and saves up to a share.
func bucket(rate Rate, now time.Time) granter {
	tokens, last := 0.0, now
	return granter{configure: func(r Rate) { rate = r }, claim: func(now time.Time) func(time.Time) {
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

// atOnce lets a new process send at once.
func atOnce(rate Rate, now time.Time) granter {
	return ours(rate, now.Add(-rate.hold()-rate.Timeout))
}

// closing counts a probe as done when its time is up, read by the target or not.
func closing(rate Rate, now time.Time) granter {
	inner := ours(rate, now)
	return granter{configure: inner.configure, claim: func(now time.Time) func(time.Time) {
		done := inner.claim(now)
		if done == nil {
			return nil
		}
		done(now.Add(rate.Timeout))
		return func(time.Time) {}
	}}
}

// probe is a probe under way.
type probe struct {
	done func(time.Time)
	// by is the latest time at which it reaches the target once its process has
	// ended, zero before.
	by time.Time
}

// slot is the place of one instance; processes follow each other in it.
type slot struct {
	granter granter
	probes  []*probe
	paused  time.Time
	rate    Rate
}

// world is a fleet that claims whenever it can.
type world struct {
	build    func(Rate, time.Time) granter
	now      time.Time
	slots    []slot
	arrivals []time.Time
	// stopped is when the target reads again.
	stopped time.Time
}

func newWorld(build func(Rate, time.Time) granter, rate Rate) *world {
	w := &world{build: build, now: narrator.Epoch, slots: make([]slot, rate.Fleet)}
	for i := range w.slots {
		w.slots[i] = slot{granter: build(rate, w.now), rate: rate}
	}
	return w
}

// step lets some time pass and runs one event at one instance.
func (w *world) step(n uint32, rates []Rate) {
	w.now = w.now.Add(time.Duration(n%700) * time.Millisecond)
	n /= 700
	s := &w.slots[n%uint32(len(w.slots))]
	n /= uint32(len(w.slots))
	switch n % 16 {
	case 0:
		// The process ends and the next one starts.
		for _, p := range s.probes {
			p.by = w.now.Add(s.rate.Timeout)
		}
		s.granter = w.build(s.rate, w.now)
	case 1:
		s.paused = w.now.Add(time.Duration(n%40) * time.Second)
	case 2, 3:
		s.rate = rates[n/16%uint32(len(rates))]
		s.granter.configure(s.rate)
	case 4, 5, 6:
		if !w.now.Before(w.stopped) {
			w.arrive(s, n/16)
		}
	case 7:
		w.stopped = w.now.Add(time.Duration(n%60) * time.Second)
	}
	w.expire()
	if !w.now.Before(w.stopped) && !w.stopped.IsZero() {
		w.flush()
	}
	for i := range w.slots {
		w.claim(&w.slots[i])
	}
}

func (w *world) claim(s *slot) {
	if w.now.Before(s.paused) {
		return
	}
	if done := s.granter.claim(w.now); done != nil {
		s.probes = append(s.probes, &probe{done: done})
	}
}

// arrive lets the target read one probe, late or not, and answer it.
func (w *world) arrive(s *slot, n uint32) {
	if len(s.probes) == 0 {
		return
	}
	i := int(n) % len(s.probes)
	p := s.probes[i]
	s.probes = append(s.probes[:i], s.probes[i+1:]...)
	w.arrivals = append(w.arrivals, w.now)
	if p.by.IsZero() {
		p.done(w.now)
	}
}

// flush lets a target that was stopped read all that waits for it.
func (w *world) flush() {
	w.stopped = time.Time{}
	for i := range w.slots {
		for len(w.slots[i].probes) > 0 {
			w.arrive(&w.slots[i], 0)
		}
	}
}

// expire drops the probes of ended processes that can no longer arrive.
func (w *world) expire() {
	for i := range w.slots {
		var rest []*probe
		for _, p := range w.slots[i].probes {
			if p.by.IsZero() || w.now.Before(p.by) {
				rest = append(rest, p)
			}
		}
		w.slots[i].probes = rest
	}
}

// over returns what is wrong if more than the limit arrived within a window.
func (w *world) over(limit int, window time.Duration) string {
	sort.Slice(w.arrivals, func(i, j int) bool { return w.arrivals[i].Before(w.arrivals[j]) })
	for i := limit; i < len(w.arrivals); i++ {
		if gap := w.arrivals[i].Sub(w.arrivals[i-limit]); gap < window {
			return fmt.Sprintf("%d probes arrived within %s, allowed are %d within %s", limit+1, gap, limit, window)
		}
	}
	return ""
}

func check(build func(Rate, time.Time) granter, change bool) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 800
	parameters.MaxSize = 400
	return prop.ForAllNoShrink(func(steps []uint32, fleet, probes int) string {
		rate := Rate{Probes: probes, Fleet: fleet, Window: 10 * time.Second, Timeout: time.Second}
		rates := []Rate{rate}
		most := probes
		if change {
			for _, other := range []int{0, probes / 2, 2 * probes, 3 * probes} {
				changed := rate
				changed.Probes = other
				rates = append(rates, changed)
				most = max(most, other)
			}
		}
		w := newWorld(build, rate)
		for _, n := range steps {
			w.step(n, rates)
		}
		return w.over(most, rate.Window)
	}, gen.SliceOf(gen.UInt32()), gen.IntRange(1, 4), gen.IntRange(0, 12)).Check(parameters)
}

func TestBudgetHoldsOverTheFleet(t *testing.T) {
	if result := check(ours, false); !result.Passed() {
		t.Error(result.Labels, result.Args)
	}
}

func TestBudgetHoldsWhileSettingsChange(t *testing.T) {
	if result := check(ours, true); !result.Passed() {
		t.Error(result.Labels, result.Args)
	}
}

func TestBrokenBudgetsAreRejected(t *testing.T) {
	for title, build := range map[string]func(Rate, time.Time) granter{
		"token bucket":                  bucket,
		"new process sends at once":     atOnce,
		"timed out probes are forgiven": closing,
	} {
		if result := check(build, false); result.Passed() {
			t.Errorf("%s: not found", title)
		} else {
			t.Logf("%s: found after %d runs: %v", title, result.Succeeded, result.Labels)
		}
	}
}
