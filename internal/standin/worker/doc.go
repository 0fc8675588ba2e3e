// Package worker stands in for a target: a server with a few slots, a queue and
// seeded service times, which reports its load, drains, starts cold, sheds and
// fails by name.
//
// Work is a sleep. Everything that the system is told by a real target, this
// one tells in the same headers, and everything that runs is recorded before it
// takes effect.
package worker
