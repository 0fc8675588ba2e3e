// Package resolver computes the effective settings of every place, service and
// request kind of one accepted version of the settings tree.
//
// A Snapshot is immutable. A request loads one pointer to it at its start and
// keeps that pointer to its end, so that it sees one version only.
package resolver
