// Package tracer creates the OpenTelemetry tracer of a process, which records one span
// for each hop of a request.
package tracer
