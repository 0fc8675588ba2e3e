// Package accountant counts the costs of an instance by place, service and request
// kind, so that operators can attribute all costs, and sums up the costs of several
// instances.
//
// The costs are those of work and of oversight. Work is what callers requested.
// Oversight is what the system adds: probes, connections, control messages, retries,
// hedges and CPU time.
//
// Each instance counts from its own start and stores nothing on disk. A bill is the
// sum of the reports of the live instances. It names the instances that were asked for a
// report but gave none.
package accountant
