package verifier

import (
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// limit bounds the search of one history.
const limit = 20 * time.Second

// Event is a run at a target, or an answer to a caller.
type Event struct {
	// Run names the run; it is empty for an answer.
	Run string
	// Outcome is what a caller was told: done, unrun or unknown.
	Outcome string
	// ResponseRun names the run whose answer the caller got, if it is done.
	ResponseRun string
}

// History is a record of concurrent events. The zero value is empty.
type History struct {
	mu     sync.Mutex
	events []porcupine.Operation
	// first is the origin of the recorded times. They are differences, as the time
	// of day may step.
	first time.Time
}

// Add records an event of an operation and when it began and ended.
func (h *History) Add(operation string, e Event, began, ended time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.events) == 0 {
		h.first = began
	}
	h.events = append(h.events, porcupine.Operation{
		Input: operation, Output: e, Call: int64(began.Sub(h.first)), Return: int64(ended.Sub(h.first)),
	})
}

// Check returns an error unless the events can be put into an order in which
// each operation runs at most once, never before or after an answer that it was
// not run, and each answer is that of the only run.
func (h *History) Check() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if got := porcupine.CheckOperationsTimeout(atMostOnce, h.events, limit); got != porcupine.Ok {
		return fmt.Errorf("the history of %d events is %s", len(h.events), got)
	}
	return nil
}

// state is what must hold for one operation at one moment.
type state struct {
	// run names the only run, empty before it.
	run string
	// refused means that a caller was told that the operation was not run.
	refused bool
}

// atMostOnce is the sequential model of one operation.
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
			return s.run == "" && !s.refused, state{run: e.Run}
		case e.Outcome == "done":
			return s.run != "" && s.run == e.ResponseRun, s
		case e.Outcome == "unrun":
			return s.run == "", state{refused: true}
		}
		return true, s
	},
}
