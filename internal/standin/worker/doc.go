// Package worker implements the target stand-in: an HTTP server with a few slots,
// a queue and seeded service times. It reports its load, drains, starts cold and
// sheds requests. Tests and scripts switch its faults through /fault/<name>.
//
// Work is a sleep of the service time. The target reports its state and load in
// the headers of every response, as a real target does. It records the start of
// each run before the run takes effect, so that the record holds every run even
// when the target is killed.
package worker
