// Package router finds the route of a request in one version of the operators'
// routing table.
//
// A Table is immutable. A request loads one pointer to it when it arrives and
// keeps that version to its end.
package router
