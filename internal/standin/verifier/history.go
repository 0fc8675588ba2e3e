package verifier

import (
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// searchTimeout bounds the search for a valid order in one history.
const searchTimeout = 20 * time.Second

// Event is a run at a target, or an outcome that a caller received.
type Event struct {
	// Run names the run. It is empty for an outcome.
	Run string
	// Outcome is the reported outcome: "done", "unrun" (not executed) or "unknown". It
	// is empty for a run.
	Outcome string
	// ResponseRun names the run whose response the caller received, if the outcome is
	// "done".
	ResponseRun string
}

// History is a record of concurrent events. The zero value is empty.
type History struct {
	mu     sync.Mutex
	events []porcupine.Operation
	// origin is the begin of the first event. Times are recorded as differences to
	// it, since the wall clock may step.
	origin time.Time
}

// Add records an event of an operation with its begin and end.
func (h *History) Add(operation string, e Event, began, ended time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.events) == 0 {
		h.origin = began
	}
	h.events = append(h.events, porcupine.Operation{
		Input: operation, Output: e, Call: int64(began.Sub(h.origin)), Return: int64(ended.Sub(h.origin)),
	})
}

// Check returns an error unless the events can be ordered so that each operation
// runs at most once, an operation that was reported as not executed runs neither
// before nor after that report, and each response is the response of the only run. The
// error ends with the result of the search: "Illegal" if there is no such order,
// "Unknown" if the search timed out.
func (h *History) Check() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if got := porcupine.CheckOperationsTimeout(atMostOnce, h.events, searchTimeout); got != porcupine.Ok {
		return fmt.Errorf("expected an order of the %d events in which each operation runs at most once; the check returned %s", len(h.events), got)
	}
	return nil
}

// state is the state of one operation in the sequential model.
type state struct {
	// run names the only run. It is empty until the operation has run.
	run string
	// notExecuted is set once a caller has received the outcome "unrun".
	notExecuted bool
}

// atMostOnce is the sequential model of an operation that runs at most once. Events
// with the outcome "unknown" are always valid.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, o := range history {
			id := o.Input.(string)
			parts[id] = append(parts[id], o)
		}
		var all [][]porcupine.Operation
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	},
	Init: func() any { return state{} },
	Step: func(before, _, output any) (bool, any) {
		s, e := before.(state), output.(Event)
		switch {
		case e.Run != "":
			return s.run == "" && !s.notExecuted, state{run: e.Run}
		case e.Outcome == "done":
			return s.run != "" && s.run == e.ResponseRun, s
		case e.Outcome == "unrun":
			return s.run == "", state{notExecuted: true}
		}
		return true, s
	},
}
