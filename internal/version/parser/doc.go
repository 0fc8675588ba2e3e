// Package parser checks a published settings tree and turns it into the
// effective settings of every place, service and request kind.
//
// The check is deterministic: the same text gives the same result on every
// instance, so that all of them accept a version or all of them reject it. One
// table of records drives the check, the inheritance and the reference page.
package parser
