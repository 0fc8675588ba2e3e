// Package relayer connects an instance with the others.
//
// It drives the membership over framed TCP and carries what instances tell each
// other: the documents that they hold (settings and list), rumors that reach
// every instance once, and operations forwarded to their executor. A few
// connections are pooled, so that the cost of an instance does not grow with
// the fleet.
package relayer
