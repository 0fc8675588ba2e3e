// Package historian checks recorded histories of operations that may run at most once.
package historian
