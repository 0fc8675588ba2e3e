package executor

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"oriolecourse.example/oriolecourse/internal/standin/replayer"
)

// variant builds a known fault into a table. The zero value builds in none.
type variant struct {
	// beforeBegin is called before each Begin.
	beforeBegin func(*Table)
	// afterFinish is called after each Finish.
	afterFinish func(*Table, *Record)
	// send replaces Table.MarkSent.
	send func(*Table, *Record, time.Time) bool
}

// forgetsBeforeSealing drops records with a response from epochs that still accept
// ids.
var forgetsBeforeSealing = variant{beforeBegin: func(t *Table) {
	for _, e := range t.liveEpochs {
		for part, r := range e.records {
			if r.phase == finished && r.Outcome().Result == Done {
				delete(e.records, part)
			}
		}
	}
}}

// dropsNotExecuted drops the records of operations that were not executed.
var dropsNotExecuted = variant{afterFinish: func(t *Table, r *Record) {
	if e := t.findEpoch(r.Operation.Token.Epoch); e != nil && r.Outcome().Result == NotExecuted {
		delete(e.records, r.Operation.Part)
	}
}}

// sendsAfterDeadline sends operations whose deadline has passed.
var sendsAfterDeadline = variant{send: func(_ *Table, r *Record, _ time.Time) bool {
	if r.phase != begun {
		return false
	}
	r.phase = sent
	return true
}}

// simulation runs random events on the table of one instance, which restarts at
// random. It checks every outcome against what the target executed.
type simulation struct {
	variant     variant
	now         time.Time
	incarnation uint64
	table       *Table
	// ids holds all operation ids. Callers use each of them repeatedly.
	ids []OperationID
	// running holds the records that are not finished.
	running []*Record
	// effects counts the executions of each operation at the target.
	effects             map[OperationID]int
	reportedNotExecuted map[OperationID]bool
	// statuses holds the status that callers got for each operation.
	statuses map[OperationID]int
	// failure describes the first violation that was found.
	failure string
}

func newSimulation(v variant) *simulation {
	s := &simulation{
		variant: v, now: replayer.Epoch,
		effects: make(map[OperationID]int), reportedNotExecuted: make(map[OperationID]bool), statuses: make(map[OperationID]int),
	}
	s.restart()
	return s
}

func (s *simulation) restart() {
	s.incarnation++
	s.table = New(localPeer, s.incarnation, sessionLimits, s.now)
	s.running = nil
}

// step runs one event: n%16 chooses it, and n/16 is its argument.
func (s *simulation) step(n uint32) {
	n, choice := n/16, n%16
	switch choice {
	case 0, 1:
		s.now = s.now.Add(time.Duration(n%5000) * time.Millisecond)
	case 2:
		s.now = s.now.Add(time.Duration(n%90) * time.Second)
	case 3:
		// The clock goes back.
		s.table.Token(s.now.Add(-time.Duration(n%60) * time.Second))
	case 4:
		limits := sessionLimits
		limits.EpochDuration, limits.RecordRetention = time.Duration(n%30)*time.Second, time.Duration(n%100)*time.Second
		limits.EpochCapacity = 1 + int(n%5)
		s.table.Configure(limits, s.now)
	case 5:
		if n%8 == 0 {
			s.restart()
		}
	case 6, 7:
		if token, ok := s.table.Token(s.now); ok {
			s.ids = append(s.ids, OperationID{Token: token, Part: fmt.Sprintf("p%d", len(s.ids))})
		}
	case 8, 9, 10, 11:
		s.begin(n)
	default:
		s.progress(n)
	}
}

// begin begins an operation under a new or an earlier id.
func (s *simulation) begin(n uint32) {
	if len(s.ids) == 0 {
		return
	}
	o := s.ids[n%uint32(len(s.ids))]
	if s.variant.beforeBegin != nil {
		s.variant.beforeBegin(s.table)
	}
	d := s.table.Begin(o, 0, s.now.Add(2*time.Second), s.now)
	switch d.Action {
	case Run:
		s.running = append(s.running, d.Record)
	case Wait:
		s.checkOutcome(d.Record)
	case NeverExecuted:
		s.reportNotExecuted(o)
	}
}

// progress sends or finishes one of the running operations.
func (s *simulation) progress(n uint32) {
	if len(s.running) == 0 {
		return
	}
	i := int(n) % len(s.running)
	r := s.running[i]
	if n%3 == 0 && r.phase == begun {
		s.send(r)
		return
	}
	s.running = append(s.running[:i], s.running[i+1:]...)
	outcome := Outcome{Result: NotExecuted}
	if r.phase == sent {
		outcome = Outcome{Result: Done, Status: s.effects[r.Operation], Body: make([]byte, n%700)}
	}
	s.table.Finish(r, outcome, s.now)
	s.checkOutcome(r)
	if s.variant.afterFinish != nil {
		s.variant.afterFinish(s.table, r)
	}
}

func (s *simulation) send(r *Record) {
	send := (*Table).MarkSent
	if s.variant.send != nil {
		send = s.variant.send
	}
	if !send(s.table, r, s.now) {
		return
	}
	if !s.now.Before(r.Deadline) {
		s.fail("%s was sent after its deadline", r.Operation)
	}
	if s.reportedNotExecuted[r.Operation] {
		s.fail("%s ran after it was reported as not executed", r.Operation)
	}
	s.effects[r.Operation]++
	if s.effects[r.Operation] > 1 {
		s.fail("%s ran twice", r.Operation)
	}
}

// checkOutcome checks the outcome that a caller gets from a record.
func (s *simulation) checkOutcome(r *Record) {
	o := r.Outcome()
	if o == nil {
		return
	}
	switch {
	case o.Result == NotExecuted:
		s.reportNotExecuted(r.Operation)
	case o.Dropped:
		if s.effects[r.Operation] == 0 {
			s.fail("%s was reported as run and did not run", r.Operation)
		}
	case o.Result == Done:
		if first, answered := s.statuses[r.Operation]; answered && first != o.Status {
			s.fail("%s got two different responses", r.Operation)
		}
		s.statuses[r.Operation] = o.Status
	}
}

func (s *simulation) reportNotExecuted(o OperationID) {
	if s.effects[o] > 0 {
		s.fail("%s was reported as not executed and ran", o)
	}
	s.reportedNotExecuted[o] = true
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

// runProperty checks random sequences of events; the seed is fixed.
func runProperty(v variant) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 400
	parameters.MaxSize = 400
	property := prop.ForAll(func(steps []uint32) string {
		s := newSimulation(v)
		for _, n := range steps {
			s.step(n)
		}
		return s.failure
	}, gen.SliceOf(gen.UInt32()))
	return property.Check(parameters)
}

// TestNothingRunsTwice guards against an operation that runs twice, after its
// deadline, or after it was reported as not executed, and against two different
// responses to one id. Epochs end early, late and at their capacity, and the
// process restarts.
func TestNothingRunsTwice(t *testing.T) {
	if result := runProperty(variant{}); !result.Passed() {
		t.Error(result.Status, result.Labels, result.Args)
	}
}

// TestPropertyRejectsBrokenTables checks that the property finds faults that are
// built into the table on purpose.
func TestPropertyRejectsBrokenTables(t *testing.T) {
	for title, v := range map[string]variant{
		"forgets before sealing":                             forgetsBeforeSealing,
		"drops records of operations that were not executed": dropsNotExecuted,
		"sends after the deadline":                           sendsAfterDeadline,
	} {
		if result := runProperty(v); result.Passed() {
			t.Errorf("%s: the fault was not found in %d runs", title, result.Succeeded)
		} else {
			t.Logf("%s: the fault was found after %d runs: %v", title, result.Succeeded, result.Labels)
		}
	}
}
