// Package scheduler runs events in virtual time, for models of the system.
package scheduler

import (
	"cmp"
	"container/heap"
	"time"
)

// Clock is virtual time with the events to come.
type Clock struct {
	// Now is the time since the start; it never goes back.
	Now time.Duration

	sequence int
	events   events
}

// event is something that happens; those of one moment happen in the order in
// which they were added.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

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

// After runs something later.
func (c *Clock) After(d time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.Now + d, sequence: c.sequence, do: do})
}

// Step runs the next event that comes before a time; it reports false if there is
// none.
func (c *Clock) Step(until time.Duration) bool {
	if len(c.events) == 0 || c.events[0].at >= until {
		return false
	}
	e := heap.Pop(&c.events).(event)
	c.Now = e.at
	e.do()
	return true
}
