// Package verifier checks recorded histories of operations that may run at most once.
//
// A history holds concurrent runs of operations at targets and the outcomes that
// callers received. It is valid if the events of each operation have a sequential
// order that agrees with their times and in which the operation runs at most once.
package verifier
