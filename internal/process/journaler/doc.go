// Package journaler writes structured log lines without ever blocking the one
// who logs.
//
// Lines go through a bounded buffer to a goroutine that writes them. Each kind
// of line has a rate of its own; lines of failures have a buffer share that
// others cannot use up. What is left out is counted and told in a line once per
// second.
package journaler
