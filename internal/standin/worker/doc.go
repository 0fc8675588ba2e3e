// Package worker implements the target stand-in: an HTTP server with a few slots,
// a queue and seeded service times. It reports its load, drains, starts cold and
// sheds requests. Tests and scripts switch its faults through /fault/<name>.
//
// Work is a sleep of the service time. The target reports its state and load in
// the headers of its responses, the same headers that a real target uses. It
// records the start of the execution of each request before the execution takes
// effect, so that the record holds every execution even when the target is killed.
package worker
