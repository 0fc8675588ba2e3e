// Package recorder keeps the events of the target stand-ins, such as the start and
// the end of each execution of a request.
//
// A target sends an event over a persistent HTTP stream before the work takes
// effect. Send returns once the kernel has the bytes, so that the event reaches the
// recorder even if the target is killed right afterwards. The record therefore
// includes the executions by killed targets.
package recorder
