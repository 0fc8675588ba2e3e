package tracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"oriolecourse.example/oriolecourse/internal/standin/narrator"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// world tells a tracker what is true of two targets, late, again and out of order.
type world struct {
	// spoil changes the tracker after each event into one with a known fault.
	spoil   func(*Tracker)
	tracker *Tracker
	now     time.Time
	// runs is the number of the present run of each target; they count up.
	runs [2]int
	// began holds when each run began.
	began [2][]time.Time
	// listed is the run that the list named last; the list lags and never goes back.
	listed [2]int
	// drained holds the time of the first sign of a leaving run that was told.
	drained  map[string]time.Time
	revision uint64
	fault    string
}

func newWorld(spoil func(*Tracker)) *world {
	w := &world{spoil: spoil, tracker: New(), now: narrator.Epoch, drained: make(map[string]time.Time)}
	w.began[0], w.began[1] = []time.Time{w.now}, []time.Time{w.now}
	return w
}

func label(target, run int) string { return fmt.Sprintf("%d.s%d", target, run) }

func start(run int) string { return fmt.Sprintf("s%d", run) }

// step tells one thing about one target.
func (w *world) step(n uint32) {
	w.now = w.now.Add(time.Duration(n%900) * time.Millisecond)
	n /= 900
	target := int(n % 2)
	n /= 2
	choice, n := n%8, n/8
	// What is told may be about the present run or an earlier one.
	run := w.runs[target] - int(n%3)
	leaving := n/3%3 == 0
	if run < 0 {
		return
	}
	age := w.age(target, run, time.Duration(n/9%5000)*time.Millisecond)
	switch {
	case choice == 0:
		if w.runs[target] < 20 {
			w.begin(target)
		}
		return
	case choice == 1:
		w.now = w.now.Add(time.Duration(n%90) * time.Second)
		return
	case choice < 4:
		run, age = max(run, w.listed[target]), 0
		w.list(target, run, leaving, int(n/9%3))
	case choice < 7:
		if _, known := w.tracker.Target(key(fmt.Sprint(target))); !known {
			return
		}
		w.answer(target, run, leaving, age)
	default:
		leaving = true
		w.tracker.Receive(Rumor{Key: key(fmt.Sprint(target)), Start: start(run), Age: age}, w.now)
	}
	if _, known := w.drained[label(target, run)]; leaving && !known {
		w.drained[label(target, run)] = w.now.Add(-age)
	}
	if w.spoil != nil {
		w.spoil(w.tracker)
	}
	w.judge()
}

func (w *world) begin(target int) {
	w.runs[target]++
	w.began[target] = append(w.began[target], w.now)
}

// age returns the age of what a run did: no run does anything before it has
// begun or after the next one has.
func (w *world) age(target, run int, age time.Duration) time.Duration {
	age = min(age, w.now.Sub(w.began[target][run]))
	if run < w.runs[target] {
		age = max(age, w.now.Sub(w.began[target][run+1])+1)
	}
	return age
}

// list publishes a revision that may omit the other target.
func (w *world) list(target, run int, leaving bool, omit int) {
	w.revision++
	w.listed[target] = run
	l := &lister.List{Revision: w.revision}
	add := func(target, run int, state lister.State) {
		l.Targets = append(l.Targets, lister.Target{
			Address: address(fmt.Sprint(target)), Place: "himal", Service: "lookup", State: state, Start: start(run),
		})
	}
	state := lister.Live
	if leaving {
		state = lister.Leaving
	}
	add(target, run, state)
	if omit != 0 {
		w.listed[1-target] = w.runs[1-target]
		add(1-target, w.runs[1-target], lister.Live)
	}
	w.tracker.ApplyList(l, w.now)
}

func (w *world) answer(target, run int, leaving bool, age time.Duration) {
	k := key(fmt.Sprint(target))
	state := Ready
	if leaving {
		state = Draining
	}
	w.tracker.Observe(Observation{Key: k, Start: start(run), State: state, Sent: w.now.Add(-age)}, w.now)
}

// judge checks that no run that was said to be leaving is usable, nor one that
// came before a run that was said to be leaving lately.
func (w *world) judge() {
	for _, usable := range w.tracker.Usable("himal", "lookup", w.now) {
		var target, run int
		_, _ = fmt.Sscanf(usable.Start, "s%d", &run)
		target = int(usable.Address.Addr().As4()[3])
		for later := run; later <= w.runs[target] && w.fault == ""; later++ {
			at, drained := w.drained[label(target, later)]
			if drained && (later == run || w.now.Sub(at) < Settle) {
				w.fault = fmt.Sprintf("%s is usable and %s was said to be leaving", usable.Start, start(later))
			}
		}
	}
}

// revive starts a new run of each listed target, which answers for itself.
func (w *world) revive() {
	w.now = w.now.Add(time.Second)
	for target := range w.runs {
		w.begin(target)
		w.list(target, w.runs[target], false, 1)
		w.answer(target, w.runs[target], false, 0)
	}
	if n := len(w.tracker.Usable("himal", "lookup", w.now)); n != len(w.runs) && w.fault == "" {
		w.fault = fmt.Sprintf("only %d new runs are usable", n)
	}
}

func check(spoil func(*Tracker)) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 1500
	parameters.MaxSize = 200
	return prop.ForAllNoShrink(func(steps []uint32) string {
		w := newWorld(spoil)
		for _, n := range steps {
			w.step(n)
		}
		w.revive()
		return w.fault
	}, gen.SliceOf(gen.UInt32())).Check(parameters)
}

func TestLeavingRunsStayOut(t *testing.T) {
	if result := check(nil); !result.Passed() {
		t.Error(result.Labels, result.Args)
	}
}

func TestBrokenTrackersAreRejected(t *testing.T) {
	for title, spoil := range map[string]func(*Tracker){
		"forgets ended runs": func(t *Tracker) {
			for _, e := range t.entries {
				e.left = nil
			}
		},
		"believes the list always": func(t *Tracker) {
			for _, e := range t.entries {
				e.met = false
			}
		},
		"drains for five seconds only": func(t *Tracker) {
			for _, e := range t.entries {
				if e.state == Draining && e.signed.Before(narrator.Epoch.Add(5*time.Second)) {
					e.state = Ready
				}
			}
			t.publish()
		},
	} {
		if result := check(spoil); result.Passed() {
			t.Errorf("%s: not found", title)
		} else {
			t.Logf("%s: found after %d runs: %v", title, result.Succeeded, result.Labels)
		}
	}
}
