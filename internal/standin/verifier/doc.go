// Package verifier checks recorded histories of operations that may run at most once.
package verifier
