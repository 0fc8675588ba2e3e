// Package assessor measures what an instance can carry.
//
// Instances may differ in their share of a processor and in their network link. Each tells
// the others both (its resources), and how far it is from being choked at present (its
// ease). How many requests per second these allow depends on what a request costs, which
// each instance measures on its own requests: the mix of requests is the same everywhere.
package assessor
