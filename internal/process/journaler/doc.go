// Package journaler writes log lines in the logfmt format without making the caller
// wait for the writer.
//
// Lines go through a bounded buffer to a goroutine that writes them. The value of
// the field msg is the kind of a line, and each kind has a rate limit of its own.
// Part of the buffer is reserved for warnings and errors, so that other lines cannot
// crowd them out. The journaler omits a line that exceeds the rate limit or finds
// the buffer full, counts it, and logs once per second how many lines of each kind
// were omitted.
//
// LineKinds describes all kinds of lines that an instance on a platform logs.
package journaler
