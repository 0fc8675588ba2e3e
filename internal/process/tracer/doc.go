// Package tracer makes the span recorder of a process, with one span for each
// hop of a request.
package tracer
