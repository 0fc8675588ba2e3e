// Package resolver holds the effective settings of every place, service and
// request kind of one accepted version of the settings tree. Package parser
// computes them and defines services and request kinds. Package steerer defines homes;
// package executor defines operations, outcomes, epochs, tokens and executors.
//
// A Snapshot is immutable. A request loads a pointer to the current snapshot when
// it starts and uses that snapshot until it ends, so that it sees only one version.
package resolver
