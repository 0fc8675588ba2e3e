// Package accountant counts what the work and its oversight cost, by place,
// service and kind, so that the operators can account for every line of it.
//
// Work is what callers asked for; oversight is what the system adds: probes,
// connections, control messages, retries, second tries and processor time. Each
// instance keeps its own counters since its start and nothing lasts, so a bill is
// gathered from the live instances and says which ones did not answer.
package accountant
