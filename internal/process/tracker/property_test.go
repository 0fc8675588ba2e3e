package tracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"oriolecourse.example/oriolecourse/internal/standin/replayer"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// simulation reports the runs of two targets to a tracker. Reports are delayed,
// repeated and out of order.
type simulation struct {
	// corrupt introduces a known fault into the tracker after each event.
	corrupt func(*Tracker)
	tracker *Tracker
	now     time.Time
	// runs is the number of the current run of each target. Numbers ascend.
	runs [2]int
	// runStarts holds the start time of each run.
	runStarts [2][]time.Time
	// listed is the run that the list named last. The list lags and never goes back.
	listed [2]int
	// firstLeaving holds the time of the first report that a run is leaving.
	firstLeaving map[string]time.Time
	revision     uint64
	fault        string
}

func newSimulation(corrupt func(*Tracker)) *simulation {
	s := &simulation{corrupt: corrupt, tracker: New(), now: replayer.Epoch, firstLeaving: make(map[string]time.Time)}
	s.runStarts[0], s.runStarts[1] = []time.Time{s.now}, []time.Time{s.now}
	return s
}

func runLabel(target, run int) string { return fmt.Sprintf("%d.s%d", target, run) }

func startName(run int) string { return fmt.Sprintf("s%d", run) }

// step makes one report about one target, starts a run or lets time pass.
func (s *simulation) step(n uint32) {
	s.now = s.now.Add(time.Duration(n%900) * time.Millisecond)
	n /= 900
	target := int(n % 2)
	n /= 2
	event, n := n%8, n/8
	// The report may be about the current run or an earlier one.
	run := s.runs[target] - int(n%3)
	leaving := n/3%3 == 0
	if run < 0 {
		return
	}
	age := s.possibleAge(target, run, time.Duration(n/9%5000)*time.Millisecond)
	switch {
	case event == 0:
		if s.runs[target] < 20 {
			s.begin(target)
		}
		return
	case event == 1:
		s.now = s.now.Add(time.Duration(n%90) * time.Second)
		return
	case event < 4:
		run, age = max(run, s.listed[target]), 0
		s.list(target, run, leaving, int(n/9%3))
	case event < 7:
		if _, known := s.tracker.Target(key(fmt.Sprint(target))); !known {
			return
		}
		s.observe(target, run, leaving, age)
	default:
		leaving = true
		s.tracker.Receive(Rumor{Key: key(fmt.Sprint(target)), Start: startName(run), Age: age}, s.now)
	}
	if _, known := s.firstLeaving[runLabel(target, run)]; leaving && !known {
		s.firstLeaving[runLabel(target, run)] = s.now.Add(-age)
	}
	if s.corrupt != nil {
		s.corrupt(s.tracker)
	}
	s.checkUsable()
}

func (s *simulation) begin(target int) {
	s.runs[target]++
	s.runStarts[target] = append(s.runStarts[target], s.now)
}

// possibleAge limits the age of a report to the lifetime of the run: a run reports
// nothing before it has begun or after the next one has.
func (s *simulation) possibleAge(target, run int, age time.Duration) time.Duration {
	age = min(age, s.now.Sub(s.runStarts[target][run]))
	if run < s.runs[target] {
		age = max(age, s.now.Sub(s.runStarts[target][run+1])+1)
	}
	return age
}

// list publishes a revision of the list. It omits the other target if includeOther
// is 0.
func (s *simulation) list(target, run int, leaving bool, includeOther int) {
	s.revision++
	s.listed[target] = run
	l := &lister.List{Revision: s.revision}
	add := func(target, run int, state lister.State) {
		l.Targets = append(l.Targets, lister.Target{
			Address: address(fmt.Sprint(target)), Place: "himal", Service: "lookup", State: state, Start: startName(run),
		})
	}
	state := lister.Live
	if leaving {
		state = lister.Leaving
	}
	add(target, run, state)
	if includeOther != 0 {
		s.listed[1-target] = s.runs[1-target]
		add(1-target, s.runs[1-target], lister.Live)
	}
	s.tracker.ApplyList(l, s.now)
}

func (s *simulation) observe(target, run int, leaving bool, age time.Duration) {
	k := key(fmt.Sprint(target))
	state := Ready
	if leaving {
		state = Draining
	}
	s.tracker.Observe(Observation{Key: k, Start: startName(run), State: state, Sent: s.now.Add(-age)}, s.now)
}

// checkUsable checks that no usable run was reported as leaving, and that none
// precedes a run that was reported as leaving within MaxListLag.
func (s *simulation) checkUsable() {
	for _, usable := range s.tracker.Usable("himal", "lookup", s.now) {
		var target, run int
		_, _ = fmt.Sscanf(usable.Start, "s%d", &run)
		target = int(usable.Address.Addr().As4()[3])
		for later := run; later <= s.runs[target] && s.fault == ""; later++ {
			at, leaving := s.firstLeaving[runLabel(target, later)]
			if leaving && (later == run || s.now.Sub(at) < MaxListLag) {
				s.fault = fmt.Sprintf("run %s is usable although run %s of the same target was reported as leaving", usable.Start, startName(later))
			}
		}
	}
}

// restartAll starts a new run of each listed target, which reports itself, and checks
// that all are usable.
func (s *simulation) restartAll() {
	s.now = s.now.Add(time.Second)
	for target := range s.runs {
		s.begin(target)
		s.list(target, s.runs[target], false, 1)
		s.observe(target, s.runs[target], false, 0)
	}
	if n := len(s.tracker.Usable("himal", "lookup", s.now)); n != len(s.runs) && s.fault == "" {
		s.fault = fmt.Sprintf("only %d of the new runs are usable", n)
	}
}

func check(corrupt func(*Tracker)) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 1500
	parameters.MaxSize = 200
	return prop.ForAllNoShrink(func(steps []uint32) string {
		s := newSimulation(corrupt)
		for _, n := range steps {
			s.step(n)
		}
		s.restartAll()
		return s.fault
	}, gen.SliceOf(gen.UInt32())).Check(parameters)
}

// TestLeavingRunsStayUnusable guards against new work for a run that is leaving: late
// responses, an outdated list or reports out of order must not make it usable again.
func TestLeavingRunsStayUnusable(t *testing.T) {
	if result := check(nil); !result.Passed() {
		t.Error(result.Labels, result.Args)
	}
}

// TestBrokenTrackersAreRejected checks that the property fails for known faults.
func TestBrokenTrackersAreRejected(t *testing.T) {
	for title, corrupt := range map[string]func(*Tracker){
		"forgets retired runs": func(t *Tracker) {
			for _, e := range t.entries {
				e.retired = nil
			}
		},
		"always applies the list": func(t *Tracker) {
			for _, e := range t.entries {
				e.reported = false
			}
		},
		"lets runs that leave in the first five seconds become ready": func(t *Tracker) {
			for _, e := range t.entries {
				if e.state == Draining && e.leavingSince.Before(replayer.Epoch.Add(5*time.Second)) {
					e.state = Ready
				}
			}
			t.publish()
		},
	} {
		if result := check(corrupt); result.Passed() {
			t.Errorf("%s: the property passed despite the fault", title)
		} else {
			t.Logf("%s: detected after %d runs: %v", title, result.Succeeded, result.Labels)
		}
	}
}
