// Package parser checks a published settings tree and computes the effective
// settings of every place, service and request kind.
//
// A settings tree is a YAML document with a version. Its nodes are the root,
// places (regions or sites), services and request kinds. Each node inherits the
// settings of its parent and may override them. A service is a group of targets that
// handle the same requests; a request kind is a class of the requests of a service
// with settings of its own. Package steerer defines homes; package executor
// defines operations, outcomes, epochs, tokens and executors.
//
// The check is deterministic: the same text gives the same result on every
// instance, so that all instances accept a version or all reject it. The table
// Records drives the check, the inheritance and the reference page.
package parser
