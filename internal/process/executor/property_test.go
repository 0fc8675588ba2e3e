package executor

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"oriolecourse.example/oriolecourse/internal/standin/narrator"
)

// variant builds a known fault into a table. The zero value builds in none.
type variant struct {
	// beforeBegin is called before each Begin.
	beforeBegin func(*Table)
	// afterFinish is called after each Finish.
	afterFinish func(*Table, *Record)
	// send replaces Table.Send.
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
	running             []*Record
	effects             map[OperationID]int
	reportedNotExecuted map[OperationID]bool
	statuses            map[OperationID]int
	failure             string
}

func newSimulation(v variant) *simulation {
	w := &simulation{
		variant: v, now: narrator.Epoch,
		effects: make(map[OperationID]int), reportedNotExecuted: make(map[OperationID]bool), statuses: make(map[OperationID]int),
	}
	w.restart()
	return w
}

func (w *simulation) restart() {
	w.incarnation++
	w.table = New(localPeer, w.incarnation, sessionLimits, w.now)
	w.running = nil
}

// step runs the event that n encodes.
func (w *simulation) step(n uint32) {
	n, choice := n/16, n%16
	switch choice {
	case 0, 1:
		w.now = w.now.Add(time.Duration(n%5000) * time.Millisecond)
	case 2:
		w.now = w.now.Add(time.Duration(n%90) * time.Second)
	case 3:
		w.table.Token(w.now.Add(-time.Duration(n%60) * time.Second))
	case 4:
		limits := sessionLimits
		limits.EpochDuration, limits.RecordRetention = time.Duration(n%30)*time.Second, time.Duration(n%100)*time.Second
		limits.EpochCapacity = 1 + int(n%5)
		w.table.Configure(limits, w.now)
	case 5:
		if n%8 == 0 {
			w.restart()
		}
	case 6, 7:
		if token, ok := w.table.Token(w.now); ok {
			w.ids = append(w.ids, OperationID{Token: token, Part: fmt.Sprintf("p%d", len(w.ids))})
		}
	case 8, 9, 10, 11:
		w.begin(n)
	default:
		w.progress(n)
	}
}

// begin begins an operation under a new or an earlier id.
func (w *simulation) begin(n uint32) {
	if len(w.ids) == 0 {
		return
	}
	o := w.ids[n%uint32(len(w.ids))]
	if w.variant.beforeBegin != nil {
		w.variant.beforeBegin(w.table)
	}
	v := w.table.Begin(o, 0, w.now.Add(2*time.Second), w.now)
	switch v.Action {
	case Run:
		w.running = append(w.running, v.Record)
	case Wait:
		w.checkOutcome(v.Record)
	case NeverExecuted:
		w.reportNotExecuted(o)
	}
}

// progress sends or finishes one of the running operations.
func (w *simulation) progress(n uint32) {
	if len(w.running) == 0 {
		return
	}
	i := int(n) % len(w.running)
	r := w.running[i]
	if n%3 == 0 && r.phase == begun {
		w.send(r)
		return
	}
	w.running = append(w.running[:i], w.running[i+1:]...)
	outcome := Outcome{Result: NotExecuted}
	if r.phase == sent {
		outcome = Outcome{Result: Done, Status: w.effects[r.Operation], Body: make([]byte, n%700)}
	}
	w.table.Finish(r, outcome, w.now)
	w.checkOutcome(r)
	if w.variant.afterFinish != nil {
		w.variant.afterFinish(w.table, r)
	}
}

func (w *simulation) send(r *Record) {
	send := (*Table).Send
	if w.variant.send != nil {
		send = w.variant.send
	}
	if !send(w.table, r, w.now) {
		return
	}
	if !w.now.Before(r.Deadline) {
		w.fail("%s was sent after its deadline", r.Operation)
	}
	if w.reportedNotExecuted[r.Operation] {
		w.fail("%s ran after it was reported as not executed", r.Operation)
	}
	w.effects[r.Operation]++
	if w.effects[r.Operation] > 1 {
		w.fail("%s ran twice", r.Operation)
	}
}

// checkOutcome checks the outcome that a caller gets from a record.
func (w *simulation) checkOutcome(r *Record) {
	o := r.Outcome()
	if o == nil {
		return
	}
	switch {
	case o.Result == NotExecuted:
		w.reportNotExecuted(r.Operation)
	case o.Dropped:
		if w.effects[r.Operation] == 0 {
			w.fail("%s was reported as run and did not run", r.Operation)
		}
	case o.Result == Done:
		if first, answered := w.statuses[r.Operation]; answered && first != o.Status {
			w.fail("%s got two different responses", r.Operation)
		}
		w.statuses[r.Operation] = o.Status
	}
}

func (w *simulation) reportNotExecuted(o OperationID) {
	if w.effects[o] > 0 {
		w.fail("%s was reported as not executed and ran", o)
	}
	w.reportedNotExecuted[o] = true
}

func (w *simulation) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

// runProperty checks random sequences of events; the seed is fixed.
func runProperty(v variant) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 400
	parameters.MaxSize = 400
	property := prop.ForAll(func(steps []uint32) string {
		w := newSimulation(v)
		for _, n := range steps {
			w.step(n)
		}
		return w.failure
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
