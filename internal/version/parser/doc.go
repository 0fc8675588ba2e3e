// Package parser checks a published settings tree and computes the effective
// settings of every place, service and request kind.
//
// A settings tree is a YAML document with a version. Its nodes are the root,
// places (regions or sites), services and request kinds. Each node inherits the
// settings of its parent and may override them.
//
// The check is deterministic: the same text gives the same result on every
// instance, so that all instances accept a version or all reject it. The table
// Records drives the check, the inheritance and the reference page.
package parser
