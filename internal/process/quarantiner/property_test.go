package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"oriolecourse.example/oriolecourse/internal/standin/replayer"
)

// variant changes how the simulation uses the table. The zero variant changes
// nothing.
type variant struct {
	// ignoresIsolation runs suspects together with other requests.
	ignoresIsolation bool
	// ignoresResponses never records a response, so that no loss is withdrawn.
	ignoresResponses bool
	// forgetsLosses clears a request before its next loss is recorded.
	forgetsLosses bool
}

const (
	targets  = 6
	slots    = 3
	requests = 9
	// crasher is the number of the request that crashes its targets.
	crasher = 0
)

// attempt is a request that runs at a target.
type attempt struct {
	request, target int
	sent            time.Time
	isolated        bool
}

// simulation sends requests to targets. The crasher crashes its targets, and a network
// partition makes targets unreachable.
type simulation struct {
	variant     variant
	table       *Table
	now         time.Time
	starts      [targets]int
	partitioned [targets]bool
	attempts    []attempt
	// crashes counts the runs that the crasher crashed.
	crashes int
	fault   string
}

func (s *simulation) runOf(target int) Run {
	return parseRun(fmt.Sprintf("%d.s%d", target, s.starts[target]))
}

func requestName(request int) string { return fmt.Sprintf("r%d", request) }

// send starts a request at a target with a free slot, and a suspect only at an idle
// target. A caller sends a request again only after the earlier attempt has ended,
// because copies that already run when the second target is lost cannot be stopped.
func (s *simulation) send(n int, target int) {
	for _, a := range s.attempts {
		if a.request == n {
			return
		}
	}
	f := fingerprintOf(requestName(n))
	v, _ := s.table.Admit(lookupService, f, s.now)
	switch v {
	case Quarantined:
		if n != crasher {
			s.setFault("request %d crashes no target but is quarantined", n)
		}
		return
	case Busy:
		if !s.variant.ignoresIsolation {
			return
		}
	}
	isolated := v == Isolated && !s.variant.ignoresIsolation
	limit := slots
	if isolated {
		limit = 1
	}
	if s.load(target) >= limit || s.isolatedAt(target) {
		if v == Isolated {
			s.table.EndIsolation(lookupService, f)
		}
		return
	}
	s.attempts = append(s.attempts, attempt{request: n, target: target, sent: s.now, isolated: v == Isolated})
}

func (s *simulation) load(target int) int {
	load := 0
	for _, a := range s.attempts {
		if a.target == target {
			load++
		}
	}
	return load
}

// isolatedAt reports whether a suspect runs alone at the target.
func (s *simulation) isolatedAt(target int) bool {
	for _, a := range s.attempts {
		if a.target == target && a.isolated && !s.variant.ignoresIsolation {
			return true
		}
	}
	return false
}

// end ends one attempt. The crasher crashes its target.
func (s *simulation) end(i int) {
	a := s.attempts[i]
	if a.request == crasher || s.partitioned[a.target] {
		s.lose(a.target, a.request == crasher)
		return
	}
	s.attempts = append(s.attempts[:i], s.attempts[i+1:]...)
	if !s.variant.ignoresResponses {
		s.table.RecordResponse(s.runOf(a.target), a.sent, s.now)
	}
	s.table.RecordCompletion(lookupService, fingerprintOf(requestName(a.request)), s.now)
	s.endIsolation(a)
}

func (s *simulation) endIsolation(a attempt) {
	if a.isolated {
		s.table.EndIsolation(lookupService, fingerprintOf(requestName(a.request)))
	}
}

// lose breaks all connections to a target.
func (s *simulation) lose(target int, crash bool) {
	var rest, lost []attempt
	for _, a := range s.attempts {
		if a.target == target {
			lost = append(lost, a)
		} else {
			rest = append(rest, a)
		}
	}
	s.attempts = rest
	for _, a := range lost {
		if s.variant.forgetsLosses {
			s.table.RecordCompletion(lookupService, fingerprintOf(requestName(a.request)), s.now)
		}
		s.table.RecordLoss(lookupService, fingerprintOf(requestName(a.request)), s.runOf(target), s.now)
		s.endIsolation(a)
	}
	if crash {
		s.starts[target]++
		s.crashes++
	}
}

func (s *simulation) setFault(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf(format, args...)
	}
}

// runSteps runs one random event per number.
func (s *simulation) runSteps(steps []uint32, first int) {
	for _, n := range steps {
		s.now = s.now.Add(time.Duration(n%7) * time.Millisecond)
		n /= 7
		if n%2 == 0 {
			s.send(first+int(n/2)%(requests-first), int(n/64)%targets)
		} else if len(s.attempts) > 0 {
			s.end(int(n/2) % len(s.attempts))
		}
	}
}

func newSimulation(v variant) *simulation {
	return &simulation{variant: v, table: New(DefaultLimits), now: replayer.Epoch}
}

// checkCrashes checks that a crashing request is quarantined after two lost runs and
// that the requests that were lost with it are not quarantined. All steps together take
// at most 300 x 6 ms, less than the first quarantine of 30 s, so the crasher never gets
// out of quarantine.
func checkCrashes(v variant, steps []uint32) string {
	s := newSimulation(v)
	s.runSteps(steps, crasher)
	if s.crashes > 2 {
		s.setFault("the crasher crashed %d runs; at most 2 are allowed", s.crashes)
	}
	return s.fault
}

// checkPartition checks that no request stays in quarantine after a network
// partition has healed.
func checkPartition(v variant, steps []uint32) string {
	s := newSimulation(v)
	half := len(steps) / 2
	s.runSteps(steps[:half], crasher+1)
	for i := range s.partitioned {
		s.partitioned[i] = i%2 == 0
	}
	s.runSteps(steps[half:], crasher+1)
	s.fault, s.partitioned = "", [targets]bool{}
	s.now = s.now.Add(time.Second)
	for i := range s.partitioned {
		if !s.variant.ignoresResponses {
			s.table.RecordResponse(s.runOf(i), s.now, s.now)
		}
	}
	for n := crasher + 1; n < requests; n++ {
		if v, _ := s.table.Admit(lookupService, fingerprintOf(requestName(n)), s.now); v == Quarantined {
			s.setFault("request %d is still quarantined after the partition has healed", n)
		}
	}
	return s.fault
}

func check(property func(variant, []uint32) string, v variant) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 1000
	parameters.MaxSize = 300
	return prop.ForAll(func(steps []uint32) string { return property(v, steps) }, gen.SliceOf(gen.UInt32())).Check(parameters)
}

// TestCrashesAreContained guards against a table that lets one request crash its
// targets more than twice, or that quarantines the requests that ran beside it.
func TestCrashesAreContained(t *testing.T) {
	if result := check(checkCrashes, variant{}); !result.Passed() {
		t.Error(result.Labels, result.Args)
	}
}

// TestNoQuarantineOutlastsPartition guards against quarantines that outlast a network
// partition. The partition breaks many connections although no request crashes its
// target.
func TestNoQuarantineOutlastsPartition(t *testing.T) {
	if result := check(checkPartition, variant{}); !result.Passed() {
		t.Error(result.Labels, result.Args)
	}
}

// TestPropertiesDetectFaults checks that the properties fail for known faults.
func TestPropertiesDetectFaults(t *testing.T) {
	for _, c := range []struct {
		title    string
		property func(variant, []uint32) string
		variant  variant
	}{
		{"suspects run beside other requests", checkCrashes, variant{ignoresIsolation: true}},
		{"losses are forgotten", checkCrashes, variant{forgetsLosses: true}},
		{"losses are never withdrawn", checkPartition, variant{ignoresResponses: true}},
	} {
		if result := check(c.property, c.variant); result.Passed() {
			t.Errorf("%s: the property passed despite the fault", c.title)
		} else {
			t.Logf("%s: detected after %d runs: %v", c.title, result.Succeeded, result.Labels)
		}
	}
}
