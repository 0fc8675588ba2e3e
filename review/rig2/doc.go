// Command rig2 runs the cases of the second review: it starts instances of the product
// as separate processes on loopback, with a stand-in of the platform's store, upstreams
// and clients of its own, and checks one rule from outside.
package main
