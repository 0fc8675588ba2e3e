// Package recorder keeps what the stand-in targets ran.
//
// A target reports each run before the work takes effect, over one kept HTTP
// stream. A write to the stream reaches the recorder even if the target is
// killed right afterwards, so that the record counts the runs of lost targets.
package recorder
