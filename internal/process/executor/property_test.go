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

// variant changes a table into one with a known fault; the empty one changes nothing.
type variant struct {
	// before runs ahead of each Begin.
	before func(*Table)
	// after runs behind each Finish.
	after func(*Table, *Record)
	// send replaces Table.Send.
	send func(*Table, *Record, time.Time) bool
}

// forgetsBeforeSealing drops answered records of epochs that still accept ids.
var forgetsBeforeSealing = variant{before: func(t *Table) {
	for _, e := range t.live {
		for part, r := range e.records {
			if r.phase == finished && r.Outcome().Result == Done {
				delete(e.records, part)
			}
		}
	}
}}

// leavesRefusedUnrecorded keeps no record of operations that were not run.
var leavesRefusedUnrecorded = variant{after: func(t *Table, r *Record) {
	if e := t.find(r.Operation.Token.Epoch); e != nil && r.Outcome().Result == NotExecuted {
		delete(e.records, r.Operation.Part)
	}
}}

// sendsLate sends operations whose deadline has passed.
var sendsLate = variant{send: func(_ *Table, r *Record, _ time.Time) bool {
	if r.phase != begun {
		return false
	}
	r.phase = sent
	return true
}}

// world runs random events over one instance that is restarted now and then, and
// judges every answer by what the target ran.
type world struct {
	variant     variant
	now         time.Time
	incarnation uint64
	table       *Table
	// ids holds all operation ids that callers use, again and again.
	ids []OperationID
	// running holds the attempts that are not finished.
	running []*Record
	effects map[OperationID]int
	refused map[OperationID]bool
	answers map[OperationID]int
	fault   string
}

func newWorld(v variant) *world {
	w := &world{
		variant: v, now: narrator.Epoch,
		effects: make(map[OperationID]int), refused: make(map[OperationID]bool), answers: make(map[OperationID]int),
	}
	w.restart()
	return w
}

func (w *world) restart() {
	w.incarnation++
	w.table = New(here, w.incarnation, sessionLimits, w.now)
	w.running = nil
}

// step runs the event that the number stands for.
func (w *world) step(n uint32) {
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

// begin hands in a new or an old id.
func (w *world) begin(n uint32) {
	if len(w.ids) == 0 {
		return
	}
	o := w.ids[n%uint32(len(w.ids))]
	if w.variant.before != nil {
		w.variant.before(w.table)
	}
	v := w.table.Begin(o, 0, w.now.Add(2*time.Second), w.now)
	switch v.Action {
	case Run:
		w.running = append(w.running, v.Record)
	case Wait:
		w.judge(v.Record)
	case Refused:
		w.refuse(o)
	}
}

// progress sends or finishes one of the running attempts.
func (w *world) progress(n uint32) {
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
	w.judge(r)
	if w.variant.after != nil {
		w.variant.after(w.table, r)
	}
}

func (w *world) send(r *Record) {
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
	if w.refused[r.Operation] {
		w.fail("%s ran after it was called not run", r.Operation)
	}
	w.effects[r.Operation]++
	if w.effects[r.Operation] > 1 {
		w.fail("%s ran twice", r.Operation)
	}
}

// judge checks an answer that a caller gets from a record.
func (w *world) judge(r *Record) {
	o := r.Outcome()
	if o == nil {
		return
	}
	switch {
	case o.Result == NotExecuted:
		w.refuse(r.Operation)
	case o.Dropped:
		if w.effects[r.Operation] == 0 {
			w.fail("%s is said to have run", r.Operation)
		}
	case o.Result == Done:
		if first, answered := w.answers[r.Operation]; answered && first != o.Status {
			w.fail("%s got two answers", r.Operation)
		}
		w.answers[r.Operation] = o.Status
	}
}

func (w *world) refuse(o OperationID) {
	if w.effects[o] > 0 {
		w.fail("%s is called not run and ran", o)
	}
	w.refused[o] = true
}

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// runProperty checks random event orders; the seed is fixed.
func runProperty(v variant) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 400
	parameters.MaxSize = 400
	property := prop.ForAll(func(steps []uint32) string {
		w := newWorld(v)
		for _, n := range steps {
			w.step(n)
		}
		return w.fault
	}, gen.SliceOf(gen.UInt32()))
	return property.Check(parameters)
}

func TestNothingRunsTwice(t *testing.T) {
	if result := runProperty(variant{}); !result.Passed() {
		t.Error(result.Status, result.Labels, result.Args)
	}
}

func TestPropertyRejectsBrokenTables(t *testing.T) {
	for title, v := range map[string]variant{
		"forgets before sealing":    forgetsBeforeSealing,
		"leaves refused unrecorded": leavesRefusedUnrecorded,
		"sends late":                sendsLate,
	} {
		if result := runProperty(v); result.Passed() {
			t.Errorf("%s: not found in %d runs", title, result.Succeeded)
		} else {
			t.Logf("%s: found after %d runs: %v", title, result.Succeeded, result.Labels)
		}
	}
}
