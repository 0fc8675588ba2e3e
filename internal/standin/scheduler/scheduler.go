// Package scheduler runs events in virtual time, for simulations of the system.
package scheduler

import (
	"cmp"
	"container/heap"
	"time"
)

// Clock holds the virtual time and the scheduled events. The zero value is ready to
// use.
type Clock struct {
	// Now is the virtual time since the start. It never decreases.
	Now time.Duration

	sequence int
	events   events
}

// event is a scheduled function call. Events with the same time run in the order in
// which they were added, by sequence.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events is a heap of events, ordered by time and sequence.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// After schedules run at d after the current virtual time.
func (c *Clock) After(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.Now + d, sequence: c.sequence, run: run})
}

// Step runs the next event if its time is before until, and advances the clock to
// that time. It reports whether there was such an event.
func (c *Clock) Step(until time.Duration) bool {
	if len(c.events) == 0 || c.events[0].at >= until {
		return false
	}
	e := heap.Pop(&c.events).(event)
	c.Now = e.at
	e.run()
	return true
}
