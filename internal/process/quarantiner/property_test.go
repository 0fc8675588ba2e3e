package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"oriolecourse.example/oriolecourse/internal/standin/narrator"
)

// variant changes how the world uses the table; the empty one changes nothing.
type variant struct {
	// ignoresTurns runs suspects beside other requests.
	ignoresTurns bool
	// ignoresAlive never takes a loss back.
	ignoresAlive bool
	// forgets drops what is known of a request before its next loss.
	forgets bool
}

const (
	targets  = 6
	slots    = 3
	requests = 9
	// crasher is the number of the request that crashes its targets.
	crasher = 0
)

// flight is a request that runs at a target.
type flight struct {
	request, target int
	sent            time.Time
	apart           bool
}

// world sends requests to targets that one of them crashes, or that a cut takes away.
type world struct {
	variant variant
	table   *Table
	now     time.Time
	starts  [targets]int
	cut     [targets]bool
	flights []flight
	// crashes counts the targets that were lost while the crasher was never quarantined.
	crashes int
	fault   string
}

func (w *world) run(target int) Run { return run(fmt.Sprintf("%d.s%d", target, w.starts[target])) }

func name(request int) string { return fmt.Sprintf("r%d", request) }

// send starts a request at a target with room, a suspect alone. A caller sends a
// request again only after the earlier try has ended: what runs already when a
// second target is lost cannot be contained any more.
func (w *world) send(n int, target int) {
	for _, f := range w.flights {
		if f.request == n {
			return
		}
	}
	f := request(name(n))
	v, _ := w.table.Admit(lookup, f, w.now)
	switch v {
	case Quarantined:
		if n != crasher {
			w.fail("request %d is innocent and in quarantine", n)
		}
		return
	case Busy:
		if !w.variant.ignoresTurns {
			return
		}
	}
	apart := v == Isolated && !w.variant.ignoresTurns
	limit := slots
	if apart {
		limit = 1
	}
	if w.load(target) >= limit || w.taken(target) {
		if v == Isolated {
			w.table.EndIsolation(lookup, f)
		}
		return
	}
	w.flights = append(w.flights, flight{request: n, target: target, sent: w.now, apart: v == Isolated})
}

func (w *world) load(target int) int {
	load := 0
	for _, f := range w.flights {
		if f.target == target {
			load++
		}
	}
	return load
}

// taken reports whether a suspect runs alone at the target.
func (w *world) taken(target int) bool {
	for _, f := range w.flights {
		if f.target == target && f.apart && !w.variant.ignoresTurns {
			return true
		}
	}
	return false
}

// end finishes one flight: the crasher takes its target with it.
func (w *world) end(i int) {
	f := w.flights[i]
	if f.request == crasher || w.cut[f.target] {
		w.lose(f.target, f.request == crasher)
		return
	}
	w.flights = append(w.flights[:i], w.flights[i+1:]...)
	if !w.variant.ignoresAlive {
		w.table.RecordResponse(w.run(f.target), f.sent, w.now)
	}
	w.table.RecordCompletion(lookup, request(name(f.request)), w.now)
	w.leave(f)
}

func (w *world) leave(f flight) {
	if f.apart {
		w.table.EndIsolation(lookup, request(name(f.request)))
	}
}

// lose breaks all connections to a target.
func (w *world) lose(target int, crash bool) {
	var rest, lost []flight
	for _, f := range w.flights {
		if f.target == target {
			lost = append(lost, f)
		} else {
			rest = append(rest, f)
		}
	}
	w.flights = rest
	for _, f := range lost {
		if w.variant.forgets {
			w.table.RecordCompletion(lookup, request(name(f.request)), w.now)
		}
		w.table.RecordLoss(lookup, request(name(f.request)), w.run(target), w.now)
		w.leave(f)
	}
	if crash {
		w.starts[target]++
		w.crashes++
	}
}

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// play runs random events. Each number is one event.
func (w *world) play(steps []uint32, first int) {
	for _, n := range steps {
		w.now = w.now.Add(time.Duration(n%7) * time.Millisecond)
		n /= 7
		if n%2 == 0 {
			w.send(first+int(n/2)%(requests-first), int(n/64)%targets)
		} else if len(w.flights) > 0 {
			w.end(int(n/2) % len(w.flights))
		}
	}
}

func newWorld(v variant) *world {
	return &world{variant: v, table: New(DefaultLimits), now: narrator.Epoch}
}

// crashes checks that a request is contained after two targets and that the
// requests that were lost with it are not punished.
func crashes(v variant, steps []uint32) string {
	w := newWorld(v)
	w.play(steps, crasher)
	if w.crashes > 2 {
		w.fail("%d targets were lost", w.crashes)
	}
	return w.fault
}

// cuts checks that no request stays in quarantine after a cut has healed.
func cuts(v variant, steps []uint32) string {
	w := newWorld(v)
	half := len(steps) / 2
	w.play(steps[:half], crasher+1)
	for i := range w.cut {
		w.cut[i] = i%2 == 0
	}
	w.play(steps[half:], crasher+1)
	w.fault, w.cut = "", [targets]bool{}
	w.now = w.now.Add(time.Second)
	for i := range w.cut {
		if !w.variant.ignoresAlive {
			w.table.RecordResponse(w.run(i), w.now, w.now)
		}
	}
	for n := crasher + 1; n < requests; n++ {
		if v, _ := w.table.Admit(lookup, request(name(n)), w.now); v == Quarantined {
			w.fail("request %d stays in quarantine", n)
		}
	}
	return w.fault
}

func check(judge func(variant, []uint32) string, v variant) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 1000
	parameters.MaxSize = 300
	return prop.ForAll(func(steps []uint32) string { return judge(v, steps) }, gen.SliceOf(gen.UInt32())).Check(parameters)
}

func TestCrashesAreContained(t *testing.T) {
	if result := check(crashes, variant{}); !result.Passed() {
		t.Error(result.Labels, result.Args)
	}
}

func TestCutsPunishNobody(t *testing.T) {
	if result := check(cuts, variant{}); !result.Passed() {
		t.Error(result.Labels, result.Args)
	}
}

func TestBrokenTablesAreRejected(t *testing.T) {
	for _, c := range []struct {
		title   string
		judge   func(variant, []uint32) string
		variant variant
	}{
		{"suspects run beside others", crashes, variant{ignoresTurns: true}},
		{"losses are forgotten", crashes, variant{forgets: true}},
		{"losses are never taken back", cuts, variant{ignoresAlive: true}},
	} {
		if result := check(c.judge, c.variant); result.Passed() {
			t.Errorf("%s: not found", c.title)
		} else {
			t.Logf("%s: found after %d runs: %v", c.title, result.Succeeded, result.Labels)
		}
	}
}
