// Package accountant counts the costs of an instance by place, service and request
// kind, and sums up the costs of several instances.
//
// The costs are those of work and of oversight. Work is what callers requested.
// Oversight is what the system adds: probes, connections, control messages, retries,
// hedges and CPU time.
//
// Each instance counts from its own start and stores nothing on disk. A bill is the
// sum of the reports of the live instances. It names the instances that gave no
// report.
package accountant
